/** Steps of configuration. */
import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { sleep } from '../tools/Site.js'
import { votedFile } from '../tools/SiteSpec.js'
import type { Target } from './Target.js'

const IN_FORCE_MS = 4_000 // target
const POLL_MS = 200

When('a new file is published', async function (this: Target) {
  this.digest = await this.site.publish(votedFile(this.site.spec, 61))
})

When('a file that is not valid is published', async function (this: Target) {
  await this.site.publish({ ...votedFile(this.site.spec), endpoints: [] })
})

When('two files are published at the same moment', async function (this: Target) {
  const before = this.site.revision
  const digests = await Promise.all([71, 72].map(async rate => {
    const digest = await this.site.publish(votedFile(this.site.spec, rate))
    return { digest, revision: this.site.revision }
  }))
  digests.sort((a, b) => b.revision - a.revision)
  assert.equal(digests[0]!.revision, before + 2)
  this.digest = digests[0]!.digest
})

When('{int} new files are published, one a second', async function (this: Target, count: number) {
  for (let i = 0; i < count; i++) {
    this.digest = await this.site.publish(votedFile(this.site.spec, 80 + i))
    await sleep(1_000)
  }
})

async function inForce (target: Target, except: readonly string[] = []): Promise<void> {
  await target.site.untilInForce(target.digest, IN_FORCE_MS, except)
}

Then('it is in force on every router within 4 s', async function (this: Target) {
  await inForce(this)
})

Then('the last file is in force on every router within 4 s', async function (this: Target) {
  await inForce(this)
})

Then('the later of the two is in force on every router within 4 s', async function (this: Target) {
  await inForce(this)
})

Then('the file is in force on every router outside {word} within 4 s', async function (this: Target, dataCentre: string) {
  await inForce(this, this.site.membersOf(dataCentre))
})

Then('the good file stays in force for {int} s', async function (this: Target, seconds: number) {
  await this.site.untilInForce(this.digest, IN_FORCE_MS)
  const end = performance.now() + seconds * 1000
  while (performance.now() < end) {
    const others = (await this.site.statuses()).filter(s => s.digest !== this.digest).map(s => s.id)
    assert.deepEqual(others, [])
    await sleep(POLL_MS)
  }
})

Then('the refusal is shown with its reasons', async function (this: Target) {
  const refusals = (await this.site.statuses()).flatMap(s => s.refused === null ? [] : [s.refused])
  assert.ok(refusals.length > 0)
  assert.ok(refusals.every(r => r.revision === this.site.revision && r.errors.some(e => e.pointer === '/endpoints')))
})
