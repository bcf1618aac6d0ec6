/** Steps that start the site, inject faults and end them. */
import assert from 'node:assert/strict'
import { After, Before, Given, setDefaultTimeout, Status, When } from '@cucumber/cucumber'
import { ownerOf } from '../common/Rendezvous.js'
import { createIdempotencyKey } from '../load/ServiceCaller.js'
import { sleep } from '../tools/Site.js'
import { SEED, type ScenarioWorld } from './ScenarioWorld.js'

const FAILED_LOG_LINES = 15
const LEASE_SETTLE_MS = 7_500 // lease duration and clock skew margin

setDefaultTimeout(90_000)

Before(function (this: ScenarioWorld) {
  this.log(`seed ${SEED}`)
})

After(async function (this: ScenarioWorld, { result }) {
  this.balancer.dispose()
  if (result?.status === Status.FAILED) this.log(this.site.logTails(FAILED_LOG_LINES))
  await this.site.stop()
  await this.agent.destroy()
})

Given('a small site', async function (this: ScenarioWorld) {
  await this.site.start()
  await this.balancer.check()
})

Given('the key owners accept new keys', async () => {
  await sleep(LEASE_SETTLE_MS)
})

Given('the workers take {int} ms', async function (this: ScenarioWorld, delayMs: number) {
  for (const w of this.site.names.workers) await this.site.setWorkerFaults(w.id, { delayMs })
})

Given('the workers lose their responses', async function (this: ScenarioWorld) {
  for (const w of this.site.names.workers) await this.site.setWorkerFaults(w.id, { loseAnswer: true })
})

Given('all workers refuse', async function (this: ScenarioWorld) {
  for (const w of this.site.names.workers) await this.site.setWorkerFaults(w.id, { refuse: true })
})

Given('one worker refuses', async function (this: ScenarioWorld) {
  await this.site.setWorkerFaults('w1', { refuse: true })
})

Given('all workers are killed', async function (this: ScenarioWorld) {
  for (const w of this.site.names.workers) this.site.signal(w.id, 'SIGKILL')
  await sleep(200)
})

Given('nothing is wrong', () => {})

Given('one engine violates the protocol', async function (this: ScenarioWorld) {
  await this.site.setEngineFaults('e1', { garbage: true })
})

Given('one engine answers {int} ms late', async function (this: ScenarioWorld, delayMs: number) {
  await this.site.setEngineFaults('e1', { delayMs })
})

Given('the platform is down', async function (this: ScenarioWorld) {
  await this.site.setPlatformFaults({ down: true })
})

When('the platform goes down', async function (this: ScenarioWorld) {
  await this.site.setPlatformFaults({ down: true })
})

When('the platform serves the first revision again', async function (this: ScenarioWorld) {
  await this.site.setPlatformFaults({ rewindTo: 1 })
})

When('one engine is killed', async function (this: ScenarioWorld) {
  await sleep(300)
  this.site.signal('e1', 'SIGKILL')
})

When('one engine stops responding', async function (this: ScenarioWorld) {
  await sleep(300)
  await this.site.setEngineFaults('e1', { silent: true })
})

When('one engine gets SIGTERM', async function (this: ScenarioWorld) {
  await sleep(300)
  this.site.signal('e1', 'SIGTERM')
})

When('one entry/router is killed', async function (this: ScenarioWorld) {
  await sleep(300)
  this.site.signal('r2', 'SIGKILL')
})

When('one entry/router is suspended', async function (this: ScenarioWorld) {
  await sleep(300)
  this.site.signal('r3', 'SIGSTOP')
})

When('the router is resumed', function (this: ScenarioWorld) {
  this.site.signal('r3', 'SIGCONT')
})

When('one entry gets SIGTERM twice', async function (this: ScenarioWorld) {
  await sleep(300)
  this.site.signal('r2', 'SIGTERM')
  await sleep(100)
  this.site.signal('r2', 'SIGTERM')
  this.exitCodes.push(await this.site.waitForExit('r2'))
})

When('every router is stopped with SIGTERM and started again in turn', { timeout: 90_000 }, async function (this: ScenarioWorld) {
  for (const r of this.site.names.routers) {
    this.site.signal(r.id, 'SIGTERM')
    this.exitCodes.push(await this.site.waitForExit(r.id))
    this.site.startRouter(r.id)
    await this.site.waitUntilReady(r.id)
  }
})

When('one router is killed and started again', async function (this: ScenarioWorld) {
  await restartRouter(this, 'r2')
})

When('all routers but one are killed and started again in turn', async function (this: ScenarioWorld) {
  for (const r of this.site.names.routers.slice(1)) await restartRouter(this, r.id)
})

/** Kills a router and starts it again. */
async function restartRouter (world: ScenarioWorld, id: string): Promise<void> {
  world.site.signal(id, 'SIGKILL')
  await world.site.waitForExit(id)
  world.site.startRouter(id)
  await world.site.waitUntilReady(id)
}

/** Owner of a key by rendezvous hashing: first over the data centres with workers, then over the routers of that data centre. */
export function ownerOfKey (world: ScenarioWorld, key: string): string {
  const dataCentre = ownerOf(key, [...new Set(world.site.names.workers.map(w => w.dataCentre))].sort())
  return ownerOf(key, world.site.names.routers.filter(r => r.dataCentre === dataCentre).map(r => r.id))!
}

/** Generates call id and idempotency key of the next call and computes the owner of the key. */
export function prepareKeyedCall (world: ScenarioWorld): void {
  world.nextCallId()
  world.idempotencyKey = createIdempotencyKey()
  world.keyOwner = ownerOfKey(world, world.idempotencyKey)
}

/** Entry of a router that neither owns the key nor is the selected router. */
export function entryNotOwningKey (world: ScenarioWorld): string {
  return world.entryOfRouter(world.site.names.routers.find(r => r.id !== world.keyOwner && r.id !== world.selectedRouter)!.id)
}

When('the owner of the next key is killed', async function (this: ScenarioWorld) {
  prepareKeyedCall(this)
  this.site.signal(this.keyOwner, 'SIGKILL')
  await this.site.waitForExit(this.keyOwner)
})

When('the owner of the key is killed after {int} ms', async function (this: ScenarioWorld, ms: number) {
  await sleep(ms)
  this.site.signal(this.keyOwner, 'SIGKILL')
  this.site.setUnlisted(this.keyOwner, true)
  await this.site.publishList()
})

When('the owner of the key is suspended after {int} ms', async function (this: ScenarioWorld, ms: number) {
  await sleep(ms)
  this.site.signal(this.keyOwner, 'SIGSTOP')
  this.site.setUnlisted(this.keyOwner, true)
  await this.site.publishList()
})

When('the owner of the key is resumed', function (this: ScenarioWorld) {
  this.site.signal(this.keyOwner, 'SIGCONT')
})

When('that entry is killed after {int} ms', async function (this: ScenarioWorld, ms: number) {
  await sleep(ms)
  this.site.signal(this.routerOfEntry(this.entry), 'SIGKILL')
})

When('the issuer is killed after {int} ms', async function (this: ScenarioWorld, ms: number) {
  await sleep(ms)
  this.site.signal(this.selectedRouter, 'SIGKILL')
  await this.site.waitForExit(this.selectedRouter)
})

When('the issuer starts again', async function (this: ScenarioWorld) {
  this.site.startRouter(this.selectedRouter)
  await this.site.waitUntilReady(this.selectedRouter)
})

When('the owner of the next key is partitioned from its data centre', async function (this: ScenarioWorld) {
  prepareKeyedCall(this)
  const dataCentre = this.site.names.routers.find(r => r.id === this.keyOwner)!.dataCentre
  const others = this.site.idsInDataCentre(dataCentre).filter(id => id !== this.keyOwner && id.startsWith('r'))
  await this.site.partition([this.keyOwner], others)
  await sleep(4_000)
})

When('data centre {word} is partitioned from the others and the platform', async function (this: ScenarioWorld, dataCentre: string) {
  const inside = this.site.idsInDataCentre(dataCentre)
  const outside = this.site.spec.dataCentres.filter(d => d !== dataCentre).flatMap(d => this.site.idsInDataCentre(d))
  await this.site.partition(inside, [...outside, 'platform'])
  await sleep(3_500)
})

When('the partition is healed', async function (this: ScenarioWorld) {
  await this.site.heal()
})

When('engine {word} is ordered to drain after {int} s', async function (this: ScenarioWorld, engine: string, seconds: number) {
  await sleep(seconds * 1000)
  assert.match(await this.site.peerApi('r1').drain.mutate({ endpoint: engine, undo: false }), /taken/)
})

When('engine {word} starts leaving after {int} s', async function (this: ScenarioWorld, engine: string, seconds: number) {
  await sleep(seconds * 1000)
  await this.site.setEngineFaults(engine, { leave: true })
})

When('the platform lists engine {word} as leaving after {int} s', async function (this: ScenarioWorld, engine: string, seconds: number) {
  await sleep(seconds * 1000)
  await this.site.publishList([engine])
})
