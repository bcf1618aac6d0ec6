/**
 * What the connections of callers may hold, derived from the memory and the descriptors of the process. Handles the load of clients that
 * nobody controls: very many connections, heads that never end, pipelined requests, responses that aren't read.
 */

const RESERVED_DESCRIPTORS = 200 // for files, by the platform's rule
const MAX_CONTROL_SOCKETS = 64 // listeners, and connections to the store and to peers
const CONTROL_FRACTION = 1 / 8 // of few sockets
const IDLE_ENDPOINT_FRACTION = 1 / 8
const CALLER_FRACTION = 2 / 3 // of the sockets that callers' connections and forwarded requests share
const KB = 1_024
const CONNECTION_BYTES = 16 * KB // 7 kB for a connection that waits for its head, 14 kB with a request that waits for its endpoint
const CONNECTION_HEAP_BYTES = 8 * KB // part of these that is in the heap
const CONNECTION_MEMORY_FRACTION = 1 / 8
const CONNECTION_HEAP_FRACTION = 1 / 4
const PARTIAL_HEAD_BYTES = 64 * KB // a head of many short headers takes several times its bytes
const PARTIAL_HEAD_MEMORY_FRACTION = 1 / 16
const UNREAD_MEMORY_FRACTION = 1 / 16
const BUFFERED_MEMORY_FRACTION = 1 / 16
const MAX_PIPELINED = 16 // of one connection; ordinary clients send one request at a time
const REQUEST_HEAP_BYTES = 10 * KB // a request that was read, with its response
const PIPELINED_HEAP_FRACTION = 1 / 16

/** What a process may take. */
export interface ProcessResources {
  readonly memoryBytes: number
  /** Largest size of the heap of JavaScript objects, which is a part of the memory. */
  readonly heapBytes: number
  readonly maxDescriptors: number
}

/** Limits of the connections of a process. All are at least 1. */
export interface ConnectionLimits {
  /** Connections of callers and forwarded requests together; each forwarded request has a connection to an endpoint. */
  readonly maxSockets: number
  /** Connections of callers. */
  readonly maxConnections: number
  /** Forwarded requests that find room, however many connections of callers have requests in work. */
  readonly guaranteedForwards: number
  /** Unused connections to endpoints that are kept for their next request, where the other two leave room for them. */
  readonly maxIdleEndpointConnections: number
  /** Heads of requests of which only a part has come. */
  readonly maxPartialHeads: number
  /** Requests of one connection whose responses haven't been read. */
  readonly maxPipelined: number
  /** Those of all connections beyond the first of each. */
  readonly maxPipelinedTogether: number
  /** Bytes of responses that wait to be read, of all connections together. */
  readonly maxUnreadBytes: number
  /** Bytes of responses that are kept until they are complete, so that they can be retried until then; others are passed on as they come. */
  readonly maxBufferedBytes: number
}

/** Derives the limits of a process. */
export function connectionLimits ({ memoryBytes, heapBytes, maxDescriptors }: ProcessResources): ConnectionLimits {
  const allSockets = maxDescriptors - RESERVED_DESCRIPTORS
  const controlSockets = Math.min(MAX_CONTROL_SOCKETS, allSockets * CONTROL_FRACTION)
  const maxIdleEndpointConnections = atLeastOne(allSockets * IDLE_ENDPOINT_FRACTION)
  const maxSockets = atLeastOne(allSockets - controlSockets)
  const maxConnections = atLeastOne(Math.min(
    maxSockets * CALLER_FRACTION,
    memoryBytes * CONNECTION_MEMORY_FRACTION / CONNECTION_BYTES,
    heapBytes * CONNECTION_HEAP_FRACTION / CONNECTION_HEAP_BYTES
  ))
  return {
    maxSockets,
    maxConnections,
    guaranteedForwards: atLeastOne(maxSockets * (1 - CALLER_FRACTION)),
    maxIdleEndpointConnections,
    maxPartialHeads: atLeastOne(memoryBytes * PARTIAL_HEAD_MEMORY_FRACTION / PARTIAL_HEAD_BYTES),
    maxPipelined: MAX_PIPELINED,
    maxPipelinedTogether: atLeastOne(heapBytes * PIPELINED_HEAP_FRACTION / REQUEST_HEAP_BYTES),
    maxUnreadBytes: atLeastOne(memoryBytes * UNREAD_MEMORY_FRACTION),
    maxBufferedBytes: atLeastOne(memoryBytes * BUFFERED_MEMORY_FRACTION)
  }
}

function atLeastOne (value: number): number {
  return Math.max(1, Math.floor(value))
}
