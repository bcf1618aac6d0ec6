/** A client's link with a bandwidth and the segment size of Ethernet, as a process of its own: Node.js can't set a segment size. */
import { spawn } from 'node:child_process'

export class NarrowLink {
  #child

  /** @param mbps bandwidth of each connection towards the client, in Mbit/s. */
  constructor (host, port, mbps) {
    const script = new URL('./narrow_link.py', import.meta.url).pathname
    this.#child = spawn('python3', [script, host, String(port), String(mbps)], { stdio: ['ignore', 'pipe', 'inherit'] })
  }

  async listen () {
    this.port = await new Promise((resolve, reject) => {
      this.#child.once('error', reject)
      this.#child.once('exit', () => reject(new Error('the link ended')))
      this.#child.stdout.once('data', text => resolve(Number(text)))
    })
  }

  close () {
    this.#child.kill('SIGKILL')
  }
}
