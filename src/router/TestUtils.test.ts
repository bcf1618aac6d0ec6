/** Helpers of the tests. */
import { readFileSync } from 'node:fs'

/** True for a test that KNOWN-RED.txt names, which CI passes over; RUN_KNOWN_RED=1 runs it. */
export function isKnownRed (test: string): boolean {
  return process.env.RUN_KNOWN_RED === undefined && readFileSync('KNOWN-RED.txt', 'utf8').includes(test)
}
