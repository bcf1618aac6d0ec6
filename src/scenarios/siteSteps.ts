/** Steps that start, break and mend the site. */
import assert from 'node:assert/strict'
import { After, Before, Given, setDefaultTimeout, When } from '@cucumber/cucumber'
import { ownerOf } from '../common/Rendezvous.js'
import { mintKey } from '../load/ServiceCaller.js'
import { sleep } from '../tools/Site.js'
import { SEED, type Target } from './Target.js'

const SETTLE_MS = 7_500 // lease, then the margin for clock skew

setDefaultTimeout(90_000)

Before(function (this: Target) {
  this.log(`seed ${SEED}`)
})

After(async function (this: Target) {
  this.balancer.dispose()
  await this.site.stop()
  await this.agent.destroy()
})

Given('a small site', async function (this: Target) {
  await this.site.start()
  await this.balancer.check()
})

Given('the key owners have settled', async () => {
  await sleep(SETTLE_MS)
})

Given('the workers take {int} ms', async function (this: Target, delayMs: number) {
  for (const w of this.site.names.workers) await this.site.workerFault(w.id, { delayMs })
})

Given('the workers lose their answers', async function (this: Target) {
  for (const w of this.site.names.workers) await this.site.workerFault(w.id, { loseAnswer: true })
})

Given('all workers refuse', async function (this: Target) {
  for (const w of this.site.names.workers) await this.site.workerFault(w.id, { refuse: true })
})

Given('one worker refuses', async function (this: Target) {
  await this.site.workerFault('w1', { refuse: true })
})

Given('all workers are killed', async function (this: Target) {
  for (const w of this.site.names.workers) this.site.signal(w.id, 'SIGKILL')
  await sleep(200)
})

Given('nothing is wrong', () => {})

Given('one engine answers with garbage', async function (this: Target) {
  await this.site.engineFault('e1', { garbage: true })
})

Given('one engine answers {int} ms late', async function (this: Target, delayMs: number) {
  await this.site.engineFault('e1', { delayMs })
})

Given('the platform is down', async function (this: Target) {
  await this.site.platformFault({ down: true })
})

When('the platform goes down', async function (this: Target) {
  await this.site.platformFault({ down: true })
})

When('the platform shows the first revision again', async function (this: Target) {
  await this.site.platformFault({ rewindTo: 1 })
})

When('one engine is killed', async function (this: Target) {
  await sleep(300)
  this.site.signal('e1', 'SIGKILL')
})

When('one engine falls silent', async function (this: Target) {
  await sleep(300)
  await this.site.engineFault('e1', { silent: true })
})

When('one engine gets SIGTERM', async function (this: Target) {
  await sleep(300)
  this.site.signal('e1', 'SIGTERM')
})

When('one entry/router is killed', async function (this: Target) {
  await sleep(300)
  this.site.signal('r2', 'SIGKILL')
})

When('one entry/router is suspended', async function (this: Target) {
  await sleep(300)
  this.site.signal('r3', 'SIGSTOP')
})

When('the router wakes', function (this: Target) {
  this.site.signal('r3', 'SIGCONT')
})

When('one entry gets SIGTERM twice', async function (this: Target) {
  await sleep(300)
  this.site.signal('r2', 'SIGTERM')
  await sleep(100)
  this.site.signal('r2', 'SIGTERM')
  this.exitCodes.push(await this.site.exited('r2'))
})

When('every router is stopped with SIGTERM and started again in turn', { timeout: 90_000 }, async function (this: Target) {
  for (const r of this.site.names.routers) {
    this.site.signal(r.id, 'SIGTERM')
    this.exitCodes.push(await this.site.exited(r.id))
    this.site.startRouter(r.id)
    await this.site.untilReady(r.id)
  }
})

When('one router is killed and started again', async function (this: Target) {
  await restart(this, 'r2')
})

When('all routers but one are killed and started again in turn', async function (this: Target) {
  for (const r of this.site.names.routers.slice(1)) await restart(this, r.id)
})

async function restart (target: Target, id: string): Promise<void> {
  target.site.signal(id, 'SIGKILL')
  await target.site.exited(id)
  target.site.startRouter(id)
  await target.site.untilReady(id)
}

/** Owner of a key: the data centre by the workers' data centres, then the instance. */
export function ownerOfKey (target: Target, key: string): string {
  const dataCentre = ownerOf(key, [...new Set(target.site.names.workers.map(w => w.dataCentre))].sort())
  return ownerOf(key, target.site.names.routers.filter(r => r.dataCentre === dataCentre).map(r => r.id))!
}

/** Mints the key of the next call and works out its owner. */
export function nextKey (target: Target): void {
  target.nextCall()
  target.key = mintKey()
  target.owner = ownerOfKey(target, target.key)
}

/** An entry that does not own the key. */
export function strangerTo (target: Target): string {
  return target.entryOf(target.site.names.routers.find(r => r.id !== target.owner && r.id !== target.chosen)!.id)
}

When('the owner of the next key is killed', async function (this: Target) {
  nextKey(this)
  this.site.signal(this.owner, 'SIGKILL')
  await this.site.exited(this.owner)
})

When('the owner of the key is killed after {int} ms', async function (this: Target, ms: number) {
  await sleep(ms)
  this.site.signal(this.owner, 'SIGKILL')
  this.site.setGone(this.owner, true)
  await this.site.publishList()
})

When('the owner of the key is suspended after {int} ms', async function (this: Target, ms: number) {
  await sleep(ms)
  this.site.signal(this.owner, 'SIGSTOP')
  this.site.setGone(this.owner, true)
  await this.site.publishList()
})

When('the owner of the key wakes', function (this: Target) {
  this.site.signal(this.owner, 'SIGCONT')
})

When('that entry is killed after {int} ms', async function (this: Target, ms: number) {
  await sleep(ms)
  this.site.signal(this.routerAt(this.entry), 'SIGKILL')
})

When('the issuer is killed after {int} ms', async function (this: Target, ms: number) {
  await sleep(ms)
  this.site.signal(this.chosen, 'SIGKILL')
  await this.site.exited(this.chosen)
})

When('the issuer starts again', async function (this: Target) {
  this.site.startRouter(this.chosen)
  await this.site.untilReady(this.chosen)
})

When('the owner of the next key is cut off from its data centre', async function (this: Target) {
  nextKey(this)
  const dataCentre = this.site.names.routers.find(r => r.id === this.owner)!.dataCentre
  const others = this.site.membersOf(dataCentre).filter(id => id !== this.owner && id.startsWith('r'))
  await this.site.cut([this.owner], others)
  await sleep(4_000)
})

When('data centre {word} is cut off from the others and the platform', async function (this: Target, dataCentre: string) {
  const inside = this.site.membersOf(dataCentre)
  const outside = this.site.spec.dataCentres.filter(d => d !== dataCentre).flatMap(d => this.site.membersOf(d))
  await this.site.cut(inside, [...outside, 'platform'])
  await sleep(3_500)
})

When('the cut is healed', async function (this: Target) {
  await this.site.heal()
})

When('engine {word} is ordered to drain after {int} s', async function (this: Target, engine: string, seconds: number) {
  await sleep(seconds * 1000)
  assert.match(await this.site.api('r1').drain.mutate({ endpoint: engine, undo: false }), /taken/)
})

When('engine {word} starts to leave after {int} s', async function (this: Target, engine: string, seconds: number) {
  await sleep(seconds * 1000)
  await this.site.engineFault(engine, { leave: true })
})

When('the platform lists engine {word} as leaving after {int} s', async function (this: Target, engine: string, seconds: number) {
  await sleep(seconds * 1000)
  await this.site.publishList([engine])
})
