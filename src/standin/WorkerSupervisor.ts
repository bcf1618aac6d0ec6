/**
 * Keeps one worker of the stand-in platform running as a child process: when the process ends, the next incarnation serves on the same
 * port under the same id. The listening socket belongs to the child, or is held by this process, so that connections are accepted meanwhile.
 */
import { fork, type ChildProcess } from 'node:child_process'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { WorkerCommand, WorkerProcessOptions, WorkerReport } from './WorkerProcess.js'

/** Who holds the listening socket. */
export type ListenerHolder = 'child' | 'parent'

/** How a worker runs, and what its supervisor reports. */
export interface SupervisorOptions {
  /** Bundled script of `WorkerProcess.ts`. */
  readonly script: string
  readonly worker: WorkerProcessOptions
  readonly listener: ListenerHolder
  /** Time from the end of a process until the next one serves, in ms. */
  readonly restartMs: number
  /** Called for each request with the fatal part that reaches the worker. */
  readonly onFatalRequest?: () => void
  /** Called when the process has ended on its own. */
  readonly onCrash?: () => void
  /** Called when the next incarnation serves. */
  readonly onRestart?: () => void
}

export class WorkerSupervisor {
  readonly id: string
  readonly #options: SupervisorOptions
  readonly #listener: Server | undefined
  readonly #children = new Set<ChildProcess>()
  /** Connections that were accepted while no process served. */
  #waiting: Socket[] = []
  #current: ChildProcess | undefined
  /** The next incarnation, started in advance so that a restart takes no time. */
  #standby: Promise<ChildProcess> | undefined
  #port = 0
  #bornMs = 0
  #stopped = false

  constructor (id: string, options: SupervisorOptions) {
    this.id = id
    this.#options = options
    if (options.listener === 'parent') this.#listener = createServer({ pauseOnConnect: true }, socket => this.#handOver(socket))
  }

  /** Starts the worker on a port; 0 takes a free one if this process holds the listener. */
  async start (port: number): Promise<void> {
    this.#port = port
    const listener = this.#listener
    if (listener !== undefined) {
      await new Promise<void>(resolve => listener.listen(port, '127.0.0.1', resolve))
      this.#port = (listener.address() as AddressInfo).port
    }
    this.#standby = this.#spawn()
    await this.#activate()
  }

  /** Entry of the present incarnation in the store. */
  storeEntry (service: string): object {
    return { service, address: `127.0.0.1:${this.#port}`, zone: 'a', version: 'v1', slots: 8, state: 'ready', cold_left_ms: 0, seq_no: 1, born: this.#bornMs }
  }

  /** Ends all processes of this worker. */
  stop (): void {
    this.#stopped = true
    this.#listener?.close()
    this.#waiting.forEach(socket => socket.destroy())
    this.#children.forEach(child => child.kill('SIGKILL'))
  }

  async #spawn (): Promise<ChildProcess> {
    const { script, worker, onFatalRequest } = this.#options
    const child = fork(script, [this.id, JSON.stringify(worker)])
    this.#children.add(child)
    child.on('error', () => {}) // a command to a process that has just ended
    child.on('exit', () => this.#onExit(child))
    child.on('message', (report: WorkerReport) => { if (report === 'fatal request') onFatalRequest?.() })
    await untilReport(child, 'started')
    return child
  }

  async #activate (): Promise<void> {
    const child = await this.#standby!
    if (this.#stopped) return
    this.#standby = this.#spawn()
    this.#bornMs = Math.max(Date.now(), this.#bornMs + 1)
    this.#current = child
    if (this.#listener === undefined) {
      send(child, { listen: this.#port })
      await untilReport(child, 'listening')
      return
    }
    this.#waiting.splice(0).forEach(socket => this.#handOver(socket))
  }

  #handOver (socket: Socket): void {
    if (this.#current === undefined) this.#waiting.push(socket)
    else send(this.#current, 'connection', socket)
  }

  #onExit (child: ChildProcess): void {
    this.#children.delete(child)
    if (child !== this.#current || this.#stopped) return
    this.#current = undefined
    this.#options.onCrash?.()
    setTimeout(() => {
      this.#activate().then(() => { if (!this.#stopped) this.#options.onRestart?.() }, () => {})
    }, this.#options.restartMs)
  }
}

function send (child: ChildProcess, command: WorkerCommand, socket?: Socket): void {
  if (child.connected) child.send(command, socket, () => {})
}

async function untilReport (child: ChildProcess, expected: WorkerReport): Promise<void> {
  await new Promise<void>(resolve => child.on('message', (report: WorkerReport) => { if (report === expected) resolve() }))
}
