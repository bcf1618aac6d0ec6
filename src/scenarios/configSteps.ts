/** Steps for the configuration. */
import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { sleep } from '../tools/Site.js'
import { siteConfigFile } from '../tools/SiteSpec.js'
import type { ScenarioWorld } from './ScenarioWorld.js'

const IN_FORCE_TIMEOUT_MS = 4_000 // guaranteed limit
const POLL_MS = 200

When('a new file is published', async function (this: ScenarioWorld) {
  this.configDigest = await this.site.publishConfig(siteConfigFile(this.site.spec, 61))
})

When('an invalid file is published', async function (this: ScenarioWorld) {
  await this.site.publishConfig({ ...siteConfigFile(this.site.spec), endpoints: [] })
})

When('two files are published at the same moment', async function (this: ScenarioWorld) {
  const before = this.site.revision
  const digests = await Promise.all([71, 72].map(async rate => {
    const digest = await this.site.publishConfig(siteConfigFile(this.site.spec, rate))
    return { digest, revision: this.site.revision }
  }))
  digests.sort((a, b) => b.revision - a.revision)
  assert.equal(digests[0]!.revision, before + 2)
  this.configDigest = digests[0]!.digest
})

When('{int} new files are published, one a second', async function (this: ScenarioWorld, count: number) {
  for (let i = 0; i < count; i++) {
    this.configDigest = await this.site.publishConfig(siteConfigFile(this.site.spec, 80 + i))
    await sleep(1_000)
  }
})

/** Fails unless the expected file is in force on every router in time. @param except routers that are not checked. */
async function assertInForce (world: ScenarioWorld, except: readonly string[] = []): Promise<void> {
  await world.site.waitUntilInForce(world.configDigest, IN_FORCE_TIMEOUT_MS, except)
}

Then('it is in force on every router within 4 s', async function (this: ScenarioWorld) {
  await assertInForce(this)
})

Then('the last file is in force on every router within 4 s', async function (this: ScenarioWorld) {
  await assertInForce(this)
})

Then('the later of the two is in force on every router within 4 s', async function (this: ScenarioWorld) {
  await assertInForce(this)
})

Then('the file is in force on every router outside {word} within 4 s', async function (this: ScenarioWorld, dataCentre: string) {
  await assertInForce(this, this.site.idsInDataCentre(dataCentre))
})

Then('the last valid file stays in force for {int} s', async function (this: ScenarioWorld, seconds: number) {
  await this.site.waitUntilInForce(this.configDigest, IN_FORCE_TIMEOUT_MS)
  const end = performance.now() + seconds * 1000
  while (performance.now() < end) {
    const others = (await this.site.statuses()).filter(s => s.digest !== this.configDigest).map(s => s.id)
    assert.deepEqual(others, [])
    await sleep(POLL_MS)
  }
})

Then('the status shows the refusal with its reasons', async function (this: ScenarioWorld) {
  const refusals = (await this.site.statuses()).flatMap(s => s.refused === null ? [] : [s.refused])
  assert.ok(refusals.length > 0)
  assert.ok(refusals.every(r => r.revision === this.site.revision && r.errors.some(e => e.pointer === '/endpoints')))
})
