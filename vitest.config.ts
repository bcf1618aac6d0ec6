import { defineConfig } from 'vitest/config'

const EXCLUDED = ['**/TestUtils.test.ts', '**/*Fixture.test.ts', 'node_modules/**'] // shared parts of tests, without tests of their own
const APART = ['src/platform/UncontrolledClients.test.ts'] // measures a process that must not compete with other tests, and loads the machine

const project = (name: string, include: string[], exclude: string[], groupOrder: number): object => ({
  test: { name, include, exclude, testTimeout: 60_000, sequence: { groupOrder } }
})

export default defineConfig({ test: { projects: [project('all', ['src/**/*.test.ts'], [...EXCLUDED, ...APART], 0), project('apart', APART, EXCLUDED, 1)] } })
