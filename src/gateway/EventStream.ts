/** Splits a stream into complete events, so that one which ends within an event is recognised, and tracks the id of the last one. */
import { hashString } from '../common/Hash.js'
import { SseFramer } from '../common/sse/SseFramer.js'

const ID_LINE = /^id: ?(.*)$/gm
const MAX_KNOWN_IDS = 4_096 // of a longer stream the first ones are forgotten

export class EventStream {
  readonly #framer = new SseFramer()
  readonly #resumable: boolean
  #lastId: string | undefined
  /** Hashes of the ids of events that were passed on in earlier runs; a hash doesn't keep the chunk that its id came in. */
  readonly #knownIds = new Set<number>()
  /** Hashes of the ids of the current run. */
  readonly #runIds: number[] = []
  #startsOver = false
  #passedOn = false
  #hasNewEvent = false
  #runEvents = 0

  /** @param resumable true when the route allows another endpoint to go on after the last event; ids are tracked only then. */
  constructor (resumable: boolean) {
    this.#resumable = resumable
  }

  /** Id of the last complete event of a resumable stream; undefined before the first. */
  get lastId (): string | undefined {
    return this.#lastId
  }

  /** True when the last chunk completed an event with another id than the one before, or an event of a stream without ids. */
  get hasNewEvent (): boolean {
    return this.#hasNewEvent
  }

  /** True when a run at another endpoint can go on where this one ended: no event was passed on, or the last one had an id. */
  get canResume (): boolean {
    return this.#resumable && (this.#lastId !== undefined || !this.#passedOn)
  }

  /** True when the current run begins with an event that an earlier run sent: it doesn't go on after the last one. */
  get startsOver (): boolean {
    return this.#startsOver
  }

  /** True when the endpoint sends an event that doesn't end. */
  get isOversized (): boolean {
    return this.#framer.isOversized
  }

  /** Complete events that the current run sent. */
  get runEvents (): number {
    return this.#runEvents
  }

  /** True when an incomplete event is buffered. */
  get hasPartialEvent (): boolean {
    return this.#framer.pendingBytes > 0
  }

  /** Begins with the answer of another endpoint, which sends an incomplete event again from its start. */
  beginRun (): void {
    this.#runEvents = 0
    this.#startsOver = false
    for (const hash of this.#runIds.splice(0)) this.#knownIds.add(hash)
    this.#framer.reset()
  }

  /** Adds received bytes and returns the events that they complete. */
  push (chunk: Uint8Array): Uint8Array {
    const { bytes, events } = this.#framer.push(chunk)
    this.#runEvents += events
    const before = this.#lastId
    this.#hasNewEvent = false
    if (events === 0) return bytes
    this.#passedOn = true
    if (this.#resumable) this.#trackIds(bytes)
    this.#hasNewEvent = this.#lastId === undefined || this.#lastId !== before
    return bytes
  }

  #trackIds (bytes: Uint8Array): void {
    for (const match of Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('latin1').matchAll(ID_LINE)) {
      const id = match[1]!.trim()
      const hash = hashString(id)
      this.#startsOver ||= this.#runIds.length === 0 && this.#knownIds.has(hash)
      if (this.#startsOver) return
      this.#runIds.push(hash)
      if (this.#runIds.length > MAX_KNOWN_IDS) this.#runIds.shift()
      this.#lastId = id
    }
  }
}
