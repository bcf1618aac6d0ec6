/** OpenTelemetry spans, exported to the log as JSON lines; the W3C `traceparent` header is read and propagated. */
import { ROOT_CONTEXT, SpanKind, TraceFlags, trace, type Span, type SpanContext, type Tracer } from '@opentelemetry/api'
import { BasicTracerProvider, SimpleSpanProcessor, type ReadableSpan, type SpanExporter } from '@opentelemetry/sdk-trace-base'
import type { IRandom } from '../../common/Services.js'
import type { Log } from './Log.js'

const TRACEPARENT = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/

class LogExporter implements SpanExporter {
  readonly #log: Log

  constructor (log: Log) {
    this.#log = log
  }

  export (spans: ReadableSpan[], done: (result: { code: number }) => void): void {
    for (const span of spans) {
      const { traceId, spanId } = span.spanContext()
      const durationMs = span.duration[0] * 1000 + span.duration[1] / 1e6
      this.#log.info({ span: span.name, traceId, spanId, parentId: span.parentSpanContext?.spanId, durationMs, ...span.attributes }, 'span')
    }
    done({ code: 0 })
  }

  async shutdown (): Promise<void> {}
}

function parse (header: string | undefined): SpanContext | undefined {
  const match = TRACEPARENT.exec(header ?? '')
  return match === null ? undefined : { traceId: match[1]!, spanId: match[2]!, traceFlags: parseInt(match[3]!, 16), isRemote: true }
}

/** Span of one hop of a request; a no-op when the request is not sampled. */
export interface HopSpan {
  /** Header for the next hop; undefined when there is no trace. */
  readonly traceparent: string | undefined
  end (attributes: Readonly<Record<string, string | number>>): void
}

const UNSAMPLED_SPAN: HopSpan = { traceparent: undefined, end: () => {} }

/** Samples requests and creates their spans. */
export class Tracing {
  readonly #tracer: Tracer
  readonly #sample: number
  readonly #random: IRandom

  /** @param sample fraction of requests to trace when the caller sends no `traceparent`, 0 to 1. */
  constructor (log: Log, sample: number, random: IRandom) {
    const provider = new BasicTracerProvider({ spanProcessors: [new SimpleSpanProcessor(new LogExporter(log))] })
    this.#tracer = provider.getTracer('radishloft')
    this.#sample = sample
    this.#random = random
  }

  /** Starts the span of one hop, as a child of `traceparent` if that is valid. */
  startSpan (name: string, traceparent: string | undefined): HopSpan {
    const parent = parse(traceparent)
    if (parent === undefined ? this.#random.next() >= this.#sample : (parent.traceFlags & TraceFlags.SAMPLED) === 0) return { ...UNSAMPLED_SPAN, traceparent }
    const context = parent === undefined ? ROOT_CONTEXT : trace.setSpanContext(ROOT_CONTEXT, parent)
    const span = this.#tracer.startSpan(name, { kind: SpanKind.SERVER }, context)
    return { traceparent: format(span), end: attributes => { span.setAttributes({ ...attributes }).end() } }
  }
}

function format (span: Span): string {
  const { traceId, spanId } = span.spanContext()
  return `00-${traceId}-${spanId}-01`
}
