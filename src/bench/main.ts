/** `npm run bench`: prints the measured values with their targets, then one JSON line. */
import { formatTable } from '../common/Table.js'
import { benchDecision } from './DecisionBench.js'
import { benchCapacity, benchOverhead } from './PathBench.js'

const decision = benchDecision()
const overhead = await benchOverhead()
const requests = await benchCapacity(450, 4, 8)
const tokens = await benchCapacity(60, 320, 8)

console.log(formatTable(['MEASURE', 'MEASURED', 'TARGET'], [
  ['routing decision p99, 400 engines and 7,000 chats', `${decision.p99Us} us`, '20 us'],
  ['memory of one chat in the directory', `${decision.bytesPerChat} bytes`, '200 bytes'],
  ['added to the first token, p50 at 200 requests/s', `${overhead.addedP50Ms} ms`, '1.5 ms'],
  ['added to the first token, p99 at 200 requests/s', `${overhead.addedP99Ms} ms`, '6 ms'],
  ['requests/s per core', `${requests.requestsPerSecPerCore}`, '450'],
  ['streamed tokens/s per core', `${tokens.tokensPerSecPerCore}`, '145000']
]))
console.log(JSON.stringify({ decision, overhead, requests, tokens }))
