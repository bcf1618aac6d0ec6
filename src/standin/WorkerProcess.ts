/**
 * Entry of a child process that is one incarnation of a stand-in worker. The process ends by SIGKILL when it begins to answer a
 * request with the fatal part. It serves once its parent tells it to listen, or hands it connections.
 */
import type { Socket } from 'node:net'
import { PlatformWorker, type WorkerOptions } from './PlatformWorker.js'

/** Options of the worker that fit into a command line. */
export type WorkerProcessOptions = Pick<WorkerOptions, 'fatalPart' | 'fatalAnswer' | 'workMs' | 'eventIntervalMs'>

/** Message from the parent: listens on a port of its own, or serves the connection that comes with the message. */
export type WorkerCommand = { readonly listen: number } | 'connection'

/** Message to the parent: a request with the fatal part has arrived, or the process listens. */
export type WorkerReport = 'fatal request' | 'listening' | 'started'

const [id = '', options = '{}'] = process.argv.slice(2)
const report = (message: WorkerReport): void => { process.send?.(message) }
const worker = new PlatformWorker(id, {
  ...JSON.parse(options) as WorkerProcessOptions,
  onFatalRequest: () => report('fatal request'),
  endProcess: () => process.kill(process.pid, 'SIGKILL')
})

process.on('message', (command: WorkerCommand, socket: Socket | undefined) => {
  if (command === 'connection') {
    if (socket !== undefined) worker.serve(socket)
    return
  }
  worker.listen(command.listen).then(() => report('listening'), () => process.exit(1))
})
process.on('disconnect', () => process.exit(0)) // the parent has ended
report('started')
