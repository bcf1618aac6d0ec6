/** Steps for chats. */
import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { Then, When } from '@cucumber/cucumber'
import OpenAI from 'openai'
import { request } from 'undici'
import { answerText } from '../enginemodel/Answer.js'
import { sleep } from '../tools/Site.js'
import { apiKeyOf } from '../tools/SiteSpec.js'
import type { ScenarioWorld } from './ScenarioWorld.js'

const LONG_ANSWER_TOKENS = 160

When('{int} chats are sent', async function (this: ScenarioWorld, count: number) {
  for (let i = 0; i < count; i++) this.sendChat()
  await Promise.all(this.chats)
})

When('{int} chats with the same text are sent at once', function (this: ScenarioWorld, count: number) {
  for (let i = 0; i < count; i++) this.sendChat(20, 'the same text')
})

When('{int} long chats are running', async function (this: ScenarioWorld, count: number) {
  for (let i = 0; i < count; i++) this.sendChat(LONG_ANSWER_TOKENS)
  await sleep(300)
})

When('chats are sent continuously for {int} s', function (this: ScenarioWorld, seconds: number) {
  const end = performance.now() + seconds * 1000
  const run = async (): Promise<void> => {
    while (performance.now() < end) {
      await this.sendChat(30)
      await sleep(20)
    }
  }
  for (let i = 0; i < 8; i++) this.background.push(run())
})

When('the engines interrupt each stream after 1, 2, 3, 7, 19 and 20 events in turn and 4 chats are sent each time', async function (this: ScenarioWorld) {
  for (const cutAt of [1, 2, 3, 7, 19, 20]) {
    for (const e of this.site.names.engines) await this.site.setEngineFaults(e.id, { cutAt })
    await Promise.all([1, 2, 3, 4].map(async () => await this.sendChat()))
  }
})

Then('every chat is answered completely', async function (this: ScenarioWorld) {
  await Promise.all(this.background)
  const results = await Promise.all(this.chats)
  assert.ok(results.length > 0)
  const bad = results.filter(r => !r.correct).map(r => `${r.outcome} ${r.code} after ${r.tokens} tokens at ${r.entry}`)
  assert.deepEqual(bad, [], `${bad.length} of ${results.length} incomplete or wrong`)
})

Then('some callers resume through another entry', async function (this: ScenarioWorld) {
  const results = await Promise.all(this.chats)
  assert.ok(results.some(r => r.cuts.length > 0))
})

Then('no caller connection was interrupted', async function (this: ScenarioWorld) {
  const results = await Promise.all(this.chats)
  assert.equal(results.flatMap(r => r.cuts).length, 0)
})

Then('every stop ended with exit code 0', function (this: ScenarioWorld) {
  assert.deepEqual(this.exitCodes, this.exitCodes.map(() => 0))
})

Then('engine {word} got no new requests more than 3 s after it started leaving', async function (this: ScenarioWorld, engine: string) {
  const stats = (await this.site.engineStats()).find(e => e.id === engine)
  assert.equal(stats?.lateAfterLeave, 0)
})

Then('engine {word} gets no new chats afterwards', async function (this: ScenarioWorld, engine: string) {
  const before = (await this.site.engineStats()).find(e => e.id === engine)!.requests
  await Promise.all(Array.from({ length: 20 }, async () => await this.sendChat()))
  assert.equal((await this.site.engineStats()).find(e => e.id === engine)!.requests, before)
})

Then('a chat is answered completely afterwards', async function (this: ScenarioWorld) {
  await this.balancer.check()
  assert.equal((await this.sendChat()).correct, true)
})

Then('both sides answer chats', async function (this: ScenarioWorld) {
  for (const id of ['r1', 'r2']) {
    const res = await request(`${this.entryOfRouter(id)}/v1/chat/completions`, {
      method: 'POST', headers: { authorization: `Bearer ${apiKeyOf('looms')}` }, body: JSON.stringify({ model: 'assistant', messages: [{ role: 'user', content: id }], max_tokens: 5 })
    })
    assert.equal(res.statusCode, 200, `${id}: ${await res.body.text()}`)
  }
})

When('an OpenAI client library makes a plain and a streamed call', async function (this: ScenarioWorld) {
  const client = new OpenAI({ baseURL: `${this.site.entries[0]}/v1`, apiKey: apiKeyOf('looms') })
  const messages = [{ role: 'user' as const, content: 'wire in stock?' }]
  const plain = await client.chat.completions.create({ model: 'assistant', messages, max_tokens: 12 })
  const stream = await client.chat.completions.create({ model: 'assistant', messages, max_tokens: 12, stream: true })
  let text = ''
  for await (const chunk of stream) text += chunk.choices[0]?.delta.content ?? ''
  const expected = answerText({ model: 'assistant', messages, max_tokens: 12 })
  this.clientLibraryChecks = [plain.choices[0]?.message.content === expected, text === expected, plain.usage?.completion_tokens]
})

Then('both answers are complete', function (this: ScenarioWorld) {
  assert.deepEqual(this.clientLibraryChecks, [true, true, 12])
})

When('the body {} is posted as a chat', async function (this: ScenarioWorld, body: string) {
  if (body === 'a truncated body') {
    await sendHalfBody(Number(new URL(this.site.entries[0]!).port))
    return
  }
  const headers: Record<string, string> = { authorization: `Bearer ${apiKeyOf('looms')}` }
  if (body === '20 KB of headers') headers['x-long'] = 'x'.repeat(20_000)
  const text = body === '5 MB of text' ? 'x'.repeat(5_000_000) : body
  const res = await request(`${this.site.entries[0]}/v1/chat/completions`, { method: 'POST', headers, body: text })
  const answer = JSON.parse(await res.body.text()) as { readonly error: { readonly code: string } }
  this.errorResponse = { status: res.statusCode, code: answer.error.code }
})

/** Sends fewer bytes than the announced content length, then closes the connection. */
async function sendHalfBody (port: number): Promise<void> {
  await new Promise<void>(resolve => {
    const socket = connect(port, '127.0.0.1', () => {
      socket.write(`POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${apiKeyOf('looms')}\r\ncontent-length: 100\r\n\r\n{"model"`)
      setTimeout(() => socket.destroy(), 100)
    })
    socket.on('close', () => resolve())
    socket.on('error', () => resolve())
  })
}

Then('it is refused with status {} and code {}', function (this: ScenarioWorld, status: string, code: string) {
  if (status !== '-') assert.deepEqual(this.errorResponse, { status: Number(status), code })
})
