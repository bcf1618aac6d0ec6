/**
 * The promises of the users' pages, checked on what callers and workers saw. Each check gives the requests that break
 * one promise. Promises with a time hold for gateways and workers that nothing was done to meanwhile.
 */
import { EVENTS } from '../standin/PlatformWorker.js'
import { CONTACT_MS, type Timeline } from './Timeline.js'
import type { Break, CallRecord, ExtraRoute, ProbeRecord, RunRecord } from './Types.js'

const NOT_RUN_STATUSES = [408, 421, 429, 503]
const CANCEL_MS = 500
const RECOVERY_MS = 12_000
const RECOVERY_WINDOW_MS = 2_000
const RECOVERED_SHARE = 0.25
const WINDOW_MS = 10_000
const WINDOW_STEP_MS = 1_000
const PLANNED = ['stop', 'hup', 'configuration'] // work that must cost no request

/** All that was seen. */
export interface Seen {
  readonly calls: readonly CallRecord[]
  readonly runs: readonly RunRecord[]
  readonly probes: readonly ProbeRecord[]
  readonly routes: readonly ExtraRoute[]
  /** When each worker that leaves said so. */
  readonly leavingAt: ReadonlyMap<string, number>
  readonly timeline: Timeline
  readonly drainMs: number
  readonly applyMs: number
  readonly retryRatio: number
  readonly retryBurst: number
}

type Check = (seen: Seen, runsOf: ReadonlyMap<string, readonly RunRecord[]>) => Break[]

const succeeded = (c: CallRecord): boolean => c.end === 'whole' && c.status >= 200 && c.status < 300
const streams = (c: CallRecord): boolean => c.kind === 'stream' || c.kind === 'stream-resumable'
const eventsOf = (body: string): number[] => [...body.matchAll(/^id: (\d+)\ndata: token\1\n\n/gm)].map(m => Number(m[1]))
const broken = (rule: string, c: CallRecord, detail: string): Break => ({ rule, at: c.endedAt, id: c.id, detail: `${c.kind} by ${c.gateway}, ${c.end}, status ${c.status}: ${detail}` })

/** A success is the worker's own whole answer to this request. */
const ownAnswer: Check = ({ calls }, runsOf) => calls.filter(succeeded).flatMap(c => {
  const workers = (runsOf.get(c.id) ?? []).map(r => `${r.worker}.${c.id}`)
  const whole = streams(c) ? eventsOf(c.body).length === EVENTS : c.body === `answer to ${c.id}: ${c.id}`
  return whole && c.answerId === c.id && workers.includes(c.signature) ? [] : [broken('own whole answer', c, `id ${c.answerId}, signature ${c.signature}, body ${c.body}`)]
})

/** Work that may not be repeated runs at most once. */
const atMostOnce: Check = ({ calls }, runsOf) => calls.filter(c => c.kind === 'write' || c.kind === 'stream').flatMap(c => {
  const runs = runsOf.get(c.id) ?? []
  return runs.length <= 1 ? [] : [broken('at most once', c, `ran at ${runs.map(r => r.worker).join(', ')}`)]
})

/** What is refused has not run and never will. */
const notRun: Check = ({ calls }, runsOf) => calls.filter(c => NOT_RUN_STATUSES.includes(c.status) && c.signature === '').flatMap(c => {
  const runs = runsOf.get(c.id) ?? []
  return runs.length === 0 ? [] : [broken('not run', c, `ran at ${runs.map(r => r.worker).join(', ')}`)]
})

/** Events come in order, each once, also in a stream that was cut. */
const order: Check = ({ calls }) => calls.filter(c => streams(c) && c.status === 200).flatMap(c => {
  const events = eventsOf(c.body)
  return events.every((e, i) => e === i + 1) ? [] : [broken('order', c, `events ${events.join(' ')}`)]
})

/** A worker runs a request for the account of the caller's key. */
const account: Check = ({ calls }, runsOf) => calls.flatMap(c => {
  const other = (runsOf.get(c.id) ?? []).find(r => r.account !== c.account)
  return other === undefined ? [] : [broken('account', c, `ran for ${other.account}`)]
})

/** A leaving worker gets nothing new once the time for that has passed. */
const drain: Check = ({ calls, leavingAt, drainMs, timeline }, runsOf) => calls.flatMap(c => (runsOf.get(c.id) ?? [])
  .filter(r => r.at > (leavingAt.get(r.worker) ?? Infinity) + drainMs && timeline.inTouch(c.gateway, r.at))
  .map(r => broken('drain', c, `reached ${r.worker} ${Math.round(r.at - leavingAt.get(r.worker)!)} ms after it said that it leaves`)))

/** A request that was passed on to a sound worker is answered, around planned work too. */
const lost: Check = ({ calls, timeline }, runsOf) => calls.filter(c => c.end === 'cut').flatMap(c => {
  const runs = runsOf.get(c.id) ?? []
  const sound = runs.length > 0 && timeline.calm([c.gateway, ...runs.map(r => r.worker)], c.startedAt - CONTACT_MS, c.endedAt, PLANNED)
  return sound ? [broken('lost', c, `passed on to ${runs.map(r => r.worker).join(', ')}`)] : []
})

/** Workers stop soon after the caller left. */
const cancel: Check = ({ calls, timeline }, runsOf) => calls.filter(c => c.end === 'left').flatMap(c => (runsOf.get(c.id) ?? [])
  .filter(r => r.overAt > c.endedAt + CANCEL_MS && timeline.calm([c.gateway], c.startedAt - CONTACT_MS, c.endedAt + CANCEL_MS))
  .filter(r => timeline.calm([r.worker], c.startedAt - CONTACT_MS, c.endedAt + CANCEL_MS, ['mute']))
  .map(r => broken('cancel', c, `${r.worker} was at work ${Math.round(r.overAt - c.endedAt)} ms after the caller left`)))

/** What every configuration allows is never refused for being unknown. */
const denied: Check = ({ calls }) => calls.filter(c => c.status === 401 || c.status === 403 || c.status === 404).map(c => broken('denied', c, c.body))

/** A configuration is in force in time. */
const inForce: Check = ({ probes, routes, timeline, applyMs }) => probes.flatMap(p => {
  const route = routes.find(r => r.name === p.route)!
  const calmSince = (at: number): boolean => p.at > at + applyMs && timeline.calm([p.gateway, 'store'], at - CONTACT_MS, p.at, PLANNED) && timeline.inTouch(p.gateway, p.at)
  const late = route.removedAt === Infinity && calmSince(route.addedAt) && p.status === 404
  const stale = calmSince(route.removedAt) && p.status === 200
  return late || stale ? [{ rule: 'in force', at: p.at, id: p.route, detail: `${p.gateway} answers ${p.status}` }] : []
})

/** A process never goes back to an earlier configuration. */
const neverBack: Check = ({ probes, routes }) => routes.flatMap(route => {
  const back: Break[] = []
  const phase = new Map<string, number>() // 0 before it was served, 1 while it is, 2 after that
  for (const p of probes.filter(q => q.route === route.name)) {
    const life = `${p.gateway}/${p.life}`
    const before = phase.get(life) ?? 0
    const now = p.status === 200 ? 1 : p.status === 404 && before > 0 ? 2 : before
    if (before === 2 && now === 1) back.push({ rule: 'never back', at: p.at, id: p.route, detail: `${p.gateway} serves a removed route again` })
    if (before === 1 && now === 2 && route.removedAt > p.answeredAt) back.push({ rule: 'never back', at: p.at, id: p.route, detail: `${p.gateway} forgot a route` })
    phase.set(life, Math.max(before, now))
  }
  return back
})

/** Repeated sends keep to the budget that all gateways share. */
const budget: Check = ({ calls, runs, retryRatio, retryBurst }) => {
  const firstAt = new Map<string, number>()
  const repeats = runs.filter(r => firstAt.has(r.id) || firstAt.set(r.id, r.at) === undefined)
  const end = calls[calls.length - 1]?.endedAt ?? 0
  for (let from = calls[0]?.startedAt ?? 0; from < end; from += WINDOW_STEP_MS) {
    const inWindow = (at: number): boolean => at >= from && at < from + WINDOW_MS
    const count = repeats.filter(r => inWindow(r.at)).length
    const most = calls.filter(c => inWindow(c.startedAt)).length * retryRatio + retryBurst
    if (count > most) return [{ rule: 'budget', at: from, id: '', detail: `${count} repeats in a window, ${Math.floor(most)} allowed` }]
  }
  return []
}

/** Callers are served again in time after all gateways were killed. */
const recovery: Check = ({ calls, timeline }) => timeline.events.filter(e => e.kind === 'herd').flatMap(herd => {
  const from = herd.to + RECOVERY_MS
  const after = calls.filter(c => c.startedAt >= from && c.startedAt < from + RECOVERY_WINDOW_MS)
  const calm = timeline.calm(['store'], herd.to, from + RECOVERY_WINDOW_MS) && !timeline.events.some(e => e.kind === 'herd' && e.from > herd.from)
  const share = after.filter(succeeded).length / Math.max(1, after.length)
  return calm && after.length > 0 && share < RECOVERED_SHARE ? [{ rule: 'recovery', at: from, id: '', detail: `${Math.round(share * 100)} in 100 served` }] : []
})

/** All checks by the name of their promise. */
export const CHECKS: Readonly<Record<string, Check>> = {
  'own whole answer': ownAnswer, 'at most once': atMostOnce, 'not run': notRun, order, account, drain, lost, cancel, denied, 'in force': inForce, 'never back': neverBack, budget, recovery
}

/** Every promise that was broken. */
export function findBreaks (seen: Seen): Break[] {
  const runsOf = new Map<string, RunRecord[]>()
  for (const run of seen.runs) runsOf.set(run.id, [...runsOf.get(run.id) ?? [], run])
  return Object.values(CHECKS).flatMap(check => check(seen, runsOf))
}
