// Proves the soak: puts one fault for each promise into a copy of the built gateway and expects the soak to find it.
// Usage: node scripts/soak-mutants.mjs [NAME...]   after `npm run build`
import { spawn } from 'node:child_process'
import { cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const SECONDS = 25
const RECOVERY_SECONDS = 60 // the time of recovery is 12 s
const SEEDS = ['1', '2', '3'] // tried in turn until the fault is found

/** Promise, file, what is replaced and by what. */
const MUTANTS = [
  ['own whole answer', 'platform/RequestCodec.js', 'trusted: own && plain', 'trusted: plain'],
  ['at most once', 'gateway/RequestRun.js', 'this.#repeatable = route.idempotent ||', 'this.#repeatable = true ||', ['this.#runs < this.#run.route.maxAttempts', 'this.#runs < 2']],
  ['not run', 'gateway/RequestRun.js', 'return this.#mayHaveRun && outcomeOf(error)', 'return false && outcomeOf(error)', ["'response_lost', result.detail", "'endpoint_refused', result.detail"]],
  ['order', 'platform/RequestCodec.js', 'if (call.lastEventId !== undefined)\n            headers.push(WIRE.lastEventId, call.lastEventId);', ''],
  ['account', 'platform/RequestCodec.js', 'headers.push(WIRE.account, call.account)', "headers.push(WIRE.account, 'looms')"],
  ['drain', 'platform/Records.js', "leaving: f.state === 'draining'", 'leaving: false', ['const startedAtMs', 'if (false) return undefined; const startedAtMs']],
  ['lost', 'gateway/Gateway.js', 'elapsed() > MIN_STOP_MS && this.#front.active === 0', 'true', ['await sleep(Math.min(IDLE_CLOSE_MS, graceMs / 2))', 'await sleep(300)']],
  ['cancel', 'gateway/RequestRun.js', "this.#reply.whenGone(() => this.#stop('caller-gone'))", ''],
  ['denied', 'gateway/FrontServer.js', 'ageMs > UNCONFIRMED_MS', 'false', ['table.account(request.apiKey ?? \'\')', "table.account(Math.random() < 0.01 ? '' : request.apiKey)"]],
  ['in force', 'gateway/ConfigHolder.js', 'offer(config) {', 'offer(config) { if (this.#table !== undefined) return;'],
  ['never back', 'gateway/ConfigHolder.js', 'offer(config) {', 'offer(config) { this.first ??= config; if (Math.random() < 0.2) { this.#table = new RouteTable(this.first); return; }'],
  ['budget', 'gateway/RequestRun.js', 'if (failsMore && this.#repeatable && this.#heldAnswer === undefined && this.#mayRepeat())', 'if (this.#repeatable && this.#runs < 3)'],
  ['recovery', 'gateway/Gateway.js', 'await this.#parts.listen(metrics.address, peerPort)', 'await sleep(process.uptime() > 0 && Date.now() - Number(process.env.SOAK_STARTED) > 8000 ? 30000 : 0); await this.#parts.listen(metrics.address, peerPort)']
]

async function soak (main, seed, seconds) {
  return await new Promise(resolve => {
    let out = ''
    const child = spawn(process.execPath, [main, '--seed', seed, '--seconds', String(seconds)], { stdio: ['ignore', 'pipe', 'ignore'], env: { ...process.env, SOAK_STARTED: String(Date.now()) } })
    child.stdout.on('data', text => { out += text })
    child.on('exit', () => resolve(JSON.parse(out.trim().split('\n').pop() || '{"broken":{}}').broken))
  })
}

async function check ([promise, file, from, to, more]) {
  const dir = mkdtempSync(join(tmpdir(), 'radishloft-mutant-'))
  try {
    cpSync('dist', join(dir, 'dist'), { recursive: true })
    cpSync('package.json', join(dir, 'package.json'))
    symlinkSync(join(process.cwd(), 'node_modules'), join(dir, 'node_modules'))
    const path = join(dir, 'dist', file)
    let text = readFileSync(path, 'utf8')
    for (const [a, b] of [[from, to], ...more === undefined ? [] : [more]]) {
      if (!text.includes(a)) return console.log(`${promise}: the place of its fault was not found in ${file}: ${a}`)
      text = text.replaceAll(a, b)
    }
    writeFileSync(path, text)
    for (const seed of SEEDS) {
      const broken = await soak(join(dir, 'dist/soak/main.js'), seed, promise === 'recovery' ? RECOVERY_SECONDS : SECONDS)
      if (broken[promise] > 0) return console.log(`${promise}: found with seed ${seed}: ${JSON.stringify(broken)}`)
    }
    console.log(`${promise}: NOT FOUND`)
    process.exitCode = 1
  } finally {
    rmSync(dir, { recursive: true, force: true })
  }
}

const wanted = process.argv.slice(2)
const mutants = MUTANTS.filter(([promise]) => wanted.length === 0 || wanted.includes(promise))
for (let i = 0; i < mutants.length; i += 4) await Promise.all(mutants.slice(i, i + 4).map(check))
