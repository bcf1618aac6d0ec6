/** Node.js processes that a tool started, by name: logs, signals and exit codes. Signals are sent to these processes only. */
import { spawn, type ChildProcess } from 'node:child_process'
import { closeSync, openSync, readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'

const CLOCK_TICKS_PER_SEC = 100 // unit of the CPU times in /proc on Linux
const BYTES_PER_KB = 1_024

/** Child process and its future exit code. */
interface ManagedProcess {
  readonly child: ChildProcess
  readonly exitCode: Promise<number | null>
}

/** Options for starting a process. */
export interface StartOptions {
  /** Command line flags of Node.js itself. */
  readonly flags?: readonly string[]
  /** Environment variables in addition to those of this process. */
  readonly env?: Readonly<Record<string, string>>
}

/** Starts, signals and ends processes. */
export class ProcessSet {
  readonly #dir: string
  readonly #processes = new Map<string, ManagedProcess>()

  /** @param dir folder of the log files, one for each name. */
  constructor (dir: string) {
    this.#dir = dir
  }

  /** Starts a script under a name; its output is appended to the log file of that name. */
  start (name: string, script: string, args: readonly string[], options: StartOptions = {}): void {
    const log = openSync(this.logFile(name), 'a')
    const child = spawn(process.execPath, [...options.flags ?? [], script, ...args], { stdio: ['ignore', log, log], env: { ...process.env, ...options.env } })
    closeSync(log)
    const exitCode = new Promise<number | null>(resolve => child.once('exit', code => resolve(code)))
    this.#processes.set(name, { child, exitCode })
  }

  logFile (name: string): string {
    return join(this.#dir, `${name}.log`)
  }

  /** The last lines of a process's log. */
  logTail (name: string, lines: number): string {
    return readFileSync(this.logFile(name), 'utf8').trimEnd().split('\n').slice(-lines).join('\n')
  }

  /** Names of all processes started so far. */
  get names (): readonly string[] {
    return [...this.#processes.keys()]
  }

  /** True when the process that was last started under this name has ended. */
  hasExited (name: string): boolean {
    const child = this.#processes.get(name)?.child
    return child !== undefined && (child.exitCode !== null || child.signalCode !== null)
  }

  signal (name: string, signal: NodeJS.Signals): void {
    this.#processes.get(name)?.child.kill(signal)
  }

  /** Waits for a process to exit; returns its exit code, null when a signal ended it or the name is unknown. */
  async waitForExit (name: string): Promise<number | null> {
    return await (this.#processes.get(name)?.exitCode ?? Promise.resolve(null))
  }

  /** Memory that a process has in use at most since its start, in bytes. */
  peakMemoryBytes (name: string): number {
    const status = readFileSync(`/proc/${this.#processes.get(name)!.child.pid}/status`, 'utf8')
    return Number(/^VmHWM:\s*(\d+) kB$/m.exec(status)?.[1]) * BYTES_PER_KB
  }

  /** Number of descriptors that a process has open. */
  openDescriptors (name: string): number {
    return readdirSync(`/proc/${this.#processes.get(name)!.child.pid}/fd`).length
  }

  /** CPU time of a process since its start, user and system, in seconds. */
  cpuSeconds (name: string): number {
    const stat = readFileSync(`/proc/${this.#processes.get(name)!.child.pid}/stat`, 'utf8')
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
    return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SEC
  }

  /** Kills all processes, suspended ones too, and waits until they have exited. */
  async killAll (): Promise<void> {
    for (const { child } of this.#processes.values()) {
      child.kill('SIGCONT')
      child.kill('SIGKILL')
    }
    await Promise.all([...this.#processes.values()].map(p => p.exitCode))
  }
}
