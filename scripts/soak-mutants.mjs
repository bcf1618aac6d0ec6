// Mutation test of the soak: injects one fault for each guarantee into a copy of the built gateway and expects the soak to find it.
// Usage: node scripts/soak-mutants.mjs [NAME...]   after `npm run build`
import { execFileSync, spawn } from 'node:child_process'
import { cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const SECONDS = 25
const RECOVERY_SECONDS = 60 // recovery may take 12 s
const SEEDS = ['1', '2', '3'] // tried in turn until the fault is found

/** Name of the guarantee, file in dist/, text to replace, its replacement, and optionally a second pair of texts. */
const MUTANTS = [
  ['own whole answer', 'platform/RequestCodec.js', 'trusted: matchesRequest && unencoded', 'trusted: unencoded'],
  ['at most once', 'gateway/RequestForwarder.js', 'this.#retryable = route.idempotent ||', 'this.#retryable = true ||', ['new RetryPolicy(services, context.service, route.maxAttempts)', 'new RetryPolicy(services, context.service, 2)']],
  ['not run', 'gateway/RequestForwarder.js', 'return this.#mayHaveRun && outcomeOf(error)', 'return false && outcomeOf(error)', ["'response_lost', result.detail", "'endpoint_refused', result.detail"]],
  ['order', 'platform/RequestCodec.js', 'if (call.lastEventId !== undefined)\n            headers.push(HEADER.lastEventId, call.lastEventId);', ''],
  ['account', 'platform/RequestCodec.js', 'headers.push(HEADER.account, call.account)', "headers.push(HEADER.account, 'looms')"],
  ['drain', 'platform/Records.js', "leaving: f.state === 'draining'", 'leaving: false', ['const startedAtMs', 'if (false) return undefined; const startedAtMs']],
  ['lost', 'gateway/Gateway.js', 'elapsed() > MIN_DRAIN_MS && this.#callerServer.active === 0', 'true', ['await sleep(Math.min(IDLE_CLOSE_MS, graceMs / 2))', 'await sleep(300)']],
  ['cancel', 'gateway/RequestForwarder.js', "this.#response.onDisconnect(() => this.#stop('caller-gone'))", ''],
  ['denied', 'gateway/CallerServer.js', 'ageMs > MAX_CONFIRMED_AGE_MS', 'false', ['table.account(request.apiKey ?? \'\')', "table.account((this.requests = (this.requests ?? 0) + 1) % 100 === 0 ? '' : request.apiKey)"]],
  ['in force', 'gateway/ConfigHolder.js', 'update(config, from, ageMs) {', 'update(config, from, ageMs) { if (this.#table !== undefined) return;'],
  ['in force', 'common/peers/ConfigSchedule.js', 'return this.#boundMs * (', 'return 1_600 * 1.6 + 0 * ('],
  ['never back', 'gateway/ConfigHolder.js', 'update(config, from, ageMs) {', 'update(config, from, ageMs) { this.first ??= config; this.updates = (this.updates ?? 0) + 1; if (this.updates % 5 === 0) { this.#table = new RouteTable(this.first); return; }'],
  ['budget', 'gateway/RetryPolicy.js', 'const granted = withinRoute && this.#budget.tryRetry(now)', 'const granted = withinRoute'],
  ['word', 'gateway/RequestForwarder.js', 'if (head.leaving)', 'if (false)'],
  ['evacuation', 'gateway/EndpointPool.js', 'this.#evacuations?.isEmpty === false ? this.#evacuations : undefined', 'undefined'],
  ['pause', 'gateway/RequestForwarder.js', 'if (head.pauseMs !== undefined)', 'if (false)'],
  ['recovery', 'gateway/Gateway.js', 'await this.#snapshots.listen(metrics.address, peerPort)', 'await sleep(process.uptime() > 0 && Date.now() - Number(process.env.SOAK_STARTED) > 8000 ? 30000 : 0); await this.#snapshots.listen(metrics.address, peerPort)']
]

async function soak (main, seed, seconds) {
  return await new Promise(resolve => {
    let out = ''
    const child = spawn(process.execPath, [main, '--seed', seed, '--seconds', String(seconds)], { stdio: ['ignore', 'pipe', 'ignore'], env: { ...process.env, SOAK_STARTED: String(Date.now()) } })
    child.stdout.on('data', text => { out += text })
    child.on('exit', () => resolve(JSON.parse(out.trim().split('\n').pop() || '{"broken":{}}').broken))
  })
}

async function check ([guarantee, file, original, replacement, second]) {
  const dir = mkdtempSync(join(tmpdir(), 'radishloft-mutant-'))
  try {
    cpSync('dist', join(dir, 'dist'), { recursive: true })
    cpSync('package.json', join(dir, 'package.json'))
    symlinkSync(join(process.cwd(), 'node_modules'), join(dir, 'node_modules'))
    const path = join(dir, 'dist', file)
    let text = readFileSync(path, 'utf8')
    for (const [from, to] of [[original, replacement], ...second === undefined ? [] : [second]]) {
      if (!text.includes(from)) {
        process.exitCode = 1
        return console.log(`${guarantee}: text to replace not found in ${file}: ${from}`)
      }
      text = text.replaceAll(from, to)
    }
    writeFileSync(path, text)
    execFileSync(process.execPath, ['scripts/bundle.mjs', join(dir, 'dist')])
    for (const seed of SEEDS) {
      const broken = await soak(join(dir, 'dist/soak/main.js'), seed, guarantee === 'recovery' ? RECOVERY_SECONDS : SECONDS)
      if (broken[guarantee] > 0) return console.log(`${guarantee}: found with seed ${seed}: ${JSON.stringify(broken)}`)
    }
    console.log(`${guarantee}: NOT FOUND`)
    process.exitCode = 1
  } finally {
    rmSync(dir, { recursive: true, force: true })
  }
}

const wanted = process.argv.slice(2)
const mutants = MUTANTS.filter(([guarantee]) => wanted.length === 0 || wanted.includes(guarantee))
for (let i = 0; i < mutants.length; i += 4) await Promise.all(mutants.slice(i, i + 4).map(check))
