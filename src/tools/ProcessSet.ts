/** Node processes that a tool started, by name: their logs, signals and ends. Only these are ever signalled. */
import { spawn, type ChildProcess } from 'node:child_process'
import { closeSync, openSync, readFileSync } from 'node:fs'
import { join } from 'node:path'

const CLOCK_TICKS_PER_SEC = 100

interface ManagedProcess {
  readonly child: ChildProcess
  readonly exitCode: Promise<number | null>
}

/** How a process is started. */
export interface StartOptions {
  /** Flags of Node itself. */
  readonly flags?: readonly string[]
  readonly env?: Readonly<Record<string, string>>
}

export class ProcessSet {
  readonly #dir: string
  readonly #processes = new Map<string, ManagedProcess>()

  /** @param dir folder of the logs, one file for each name. */
  constructor (dir: string) {
    this.#dir = dir
  }

  /** Starts a script under a name; its output is added to the name's log. */
  start (name: string, script: string, args: readonly string[], options: StartOptions = {}): void {
    const log = openSync(this.logFile(name), 'a')
    const child = spawn(process.execPath, [...options.flags ?? [], script, ...args], { stdio: ['ignore', log, log], env: { ...process.env, ...options.env } })
    closeSync(log)
    const exitCode = new Promise<number | null>(resolve => child.once('exit', code => resolve(code)))
    this.#processes.set(name, { child, exitCode: exitCode })
  }

  logFile (name: string): string {
    return join(this.#dir, `${name}.log`)
  }

  signal (name: string, signal: NodeJS.Signals): void {
    this.#processes.get(name)?.child.kill(signal)
  }

  /** Waits for the end of a process; gives its exit code, null when a signal ended it. */
  async waitForExit (name: string): Promise<number | null> {
    return await (this.#processes.get(name)?.exitCode ?? Promise.resolve(null))
  }

  /** Processor time of a process since its start. */
  cpuSeconds (name: string): number {
    const stat = readFileSync(`/proc/${this.#processes.get(name)!.child.pid}/stat`, 'utf8')
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
    return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SEC
  }

  /** Kills all and waits for their ends. */
  async killAll (): Promise<void> {
    for (const { child } of this.#processes.values()) {
      child.kill('SIGCONT')
      child.kill('SIGKILL')
    }
    await Promise.all([...this.#processes.values()].map(p => p.exitCode))
  }
}
