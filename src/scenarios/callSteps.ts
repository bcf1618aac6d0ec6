/** Steps for marked calls: calls that must not be executed twice. */
import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { request } from 'undici'
import { HEADER } from '../common/Constants.js'
import type { Outcome } from '../common/Types.js'
import { sleep } from '../tools/Site.js'
import { apiKeyOf } from '../tools/SiteSpec.js'
import type { ScenarioWorld } from './ScenarioWorld.js'
import { entryNotOwningKey, prepareKeyedCall } from './siteSteps.js'

When('a marked call with a new key is sent through all entries at once', async function (this: ScenarioWorld) {
  prepareKeyedCall(this)
  await Promise.all(this.site.entries.map(async entry => await this.call(entry)))
})

When('a marked call with a new key is sent through an entry that does not own the key', function (this: ScenarioWorld) {
  prepareKeyedCall(this)
  this.entry = entryNotOwningKey(this)
  this.pendingCall = this.call(this.entry)
})

When('a marked call with a new key is sent through an entry', async function (this: ScenarioWorld) {
  prepareKeyedCall(this)
  await this.call(entryNotOwningKey(this))
})

When('a marked call with that key is sent through another entry', async function (this: ScenarioWorld) {
  await this.call(entryNotOwningKey(this))
})

When('a marked call with that key is sent through every entry', async function (this: ScenarioWorld) {
  await Promise.all(this.site.entries.map(async entry => await this.call(entry)))
})

When('a marked call with a ticket is sent through all entries at once', async function (this: ScenarioWorld) {
  this.nextCallId()
  this.idempotencyKey = await this.caller.requestTicket(this.site.entries[0]!)
  await Promise.all(this.site.entries.map(async entry => await this.call(entry)))
})

When('a marked call with a ticket is sent through another entry than the issuer', async function (this: ScenarioWorld) {
  this.nextCallId()
  this.selectedRouter = 'r1'
  this.idempotencyKey = await this.caller.requestTicket(this.entryOfRouter('r1'))
  this.pendingCall = this.call(this.entryOfRouter('r2'))
})

When('a marked call without a key is sent through an entry', async function (this: ScenarioWorld) {
  this.nextCallId()
  await this.call(this.site.entries[0]!)
})

When('{int} marked calls without a key are sent', async function (this: ScenarioWorld, count: number) {
  for (let i = 0; i < count; i++) {
    this.nextCallId()
    await this.call(this.site.entries[i % this.site.entries.length]!)
  }
})

When('marked calls are sent continuously for {int} s', function (this: ScenarioWorld, seconds: number) {
  const end = performance.now() + seconds * 1000
  const run = async (): Promise<void> => {
    while (performance.now() < end) {
      const id = this.nextCallId()
      const result = await this.caller.call(this.balancer.pick(), 'orders', '/reservations', { callId: id })
      this.attempts.push({ ...result, body: id })
      await sleep(40)
    }
  }
  for (let i = 0; i < 3; i++) this.background.push(run())
})

When('a marked call without a key is sent to {string} with header {string}', async function (this: ScenarioWorld, path: string, header: string) {
  this.nextCallId()
  const [name, value] = header.split(': ')
  const extra = header === '-' ? {} : { [name!]: value! }
  const res = await request(this.site.entries[0]! + path, {
    method: 'POST', headers: { authorization: `Bearer ${apiKeyOf('looms')}`, ...extra }, body: JSON.stringify({ callId: this.callId })
  })
  const body = await res.body.text()
  const code = (JSON.parse(body) as { readonly error?: { readonly code: string } }).error?.code ?? ''
  this.attempts.push({ outcome: res.headers[HEADER.outcome] as Outcome, code, status: res.statusCode, body })
})

When('the call is repeated through another entry', async function (this: ScenarioWorld) {
  const used = this.entry
  this.selectedRouter = this.routerOfEntry(used)
  await this.call(entryNotOwningKey(this))
})

When('the call is repeated through every entry for {int} s', async function (this: ScenarioWorld, seconds: number) {
  const end = performance.now() + seconds * 1000
  while (performance.now() < end) {
    const alive = this.site.entries.filter(e => this.routerOfEntry(e) !== this.keyOwner)
    await Promise.all(alive.map(async entry => await Promise.race([this.call(entry), sleep(5_000)])))
    await sleep(300)
  }
})

Then('every attempt is answered', function (this: ScenarioWorld) {
  assert.deepEqual(this.attempts.filter(a => a.outcome !== 'answered'), [])
  assert.ok(this.attempts.length > 0)
})

Then('the last attempt is answered', function (this: ScenarioWorld) {
  assert.equal(this.attempts.at(-1)?.outcome, 'answered', this.attempts.at(-1)?.code)
})

Then('the last attempt is of unknown outcome', function (this: ScenarioWorld) {
  assert.equal(this.attempts.at(-1)?.outcome, 'outcome-unknown', this.attempts.at(-1)?.code)
})

Then('the last attempt is reported as not run, with code {}', function (this: ScenarioWorld, codes: string) {
  const last = this.attempts.at(-1)!
  assert.equal(last.outcome, 'not-run', last.code)
  assert.ok(codes.split(' or ').includes(last.code), `${last.code} is not ${codes}`)
})

Then('no attempt is reported as not run', function (this: ScenarioWorld) {
  const reached = this.attempts.filter(a => a.status !== 0)
  assert.deepEqual(reached.filter(a => a.outcome === 'not-run'), [])
})

Then('the call ran once', async function (this: ScenarioWorld) {
  await waitForPendingCall(this)
  assert.equal(await this.runCount(), 1)
})

Then('the call ran at most once', async function (this: ScenarioWorld) {
  await waitForPendingCall(this)
  assert.ok(await this.runCount() <= 1)
})

Then('the call did not run', async function (this: ScenarioWorld) {
  assert.equal(await this.runCount(), 0)
})

Then('each call ran once', async function (this: ScenarioWorld) {
  const runs = (await this.site.workerStats()).flatMap(w => Object.values(w.runs))
  assert.deepEqual([runs.length, runs.filter(n => n !== 1)], [this.attempts.length, []])
})

Then('after the partition is healed the call has still run at most once', async function (this: ScenarioWorld) {
  await this.site.heal()
  const end = performance.now() + 6_000
  while (performance.now() < end) {
    await Promise.all(this.site.entries.map(async entry => await this.call(entry)))
    await sleep(300)
  }
  assert.ok(await this.runCount() <= 1)
})

Then('no marked call ran twice or ran although reported as not run', async function (this: ScenarioWorld) {
  await Promise.all(this.background)
  const runs = new Map<string, number>()
  for (const w of await this.site.workerStats()) {
    for (const [id, n] of Object.entries(w.runs)) runs.set(id, (runs.get(id) ?? 0) + n)
  }
  assert.deepEqual([...runs].filter(([, n]) => n > 1), [])
  assert.deepEqual(this.attempts.filter(a => a.outcome === 'not-run' && runs.has(a.body)).map(a => a.body), [])
  assert.deepEqual(this.attempts.filter(a => a.outcome === 'outcome-unknown').map(a => a.code), [], 'a planned stop lost responses')
})

/** Waits for the call in flight, 10 s at most; a call to a killed entry ends on its own. */
async function waitForPendingCall (world: ScenarioWorld): Promise<void> {
  if (world.pendingCall !== undefined) await Promise.race([world.pendingCall, sleep(10_000)])
  await sleep(300)
}
