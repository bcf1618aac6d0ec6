/** `npm run model`: explores the specifications exhaustively and checks that every mutant is caught. */
import { CONFIG_MUTANTS, configSpec } from './ConfigSpec.js'
import { explore, type Exploration } from './Explore.js'
import { KEY_COURSES, KEY_MUTANTS, keySpec } from './KeySpec.js'
import { TICKET_MUTANTS, ticketSpec } from './TicketSpec.js'

interface Mutant {
  readonly name: string
  readonly run: () => Exploration
}

const specs: ReadonlyArray<() => Exploration> = [
  ...KEY_COURSES.map(course => () => explore(keySpec(course))),
  () => explore(ticketSpec()),
  () => explore(configSpec())
]

const mutants: readonly Mutant[] = [
  ...KEY_MUTANTS.map(m => ({ name: `key: ${m.name}`, run: () => explore(keySpec(KEY_COURSES.find(c => c.name === m.course)!, m.rules)) })),
  ...TICKET_MUTANTS.map(m => ({ name: `ticket: ${m.name}`, run: () => explore(ticketSpec(m.rules)) })),
  ...CONFIG_MUTANTS.map(m => ({ name: `configuration: ${m.name}`, run: () => explore(configSpec(m.rules)) }))
]

let failed = 0
for (const run of specs) {
  const found = run()
  if (found.violation !== undefined) failed++
  console.log(`${found.violation === undefined ? 'holds ' : 'BROKEN'}  ${found.states} states  ${found.name}${found.violation === undefined ? '' : `: ${found.violation}`}`)
}
for (const mutant of mutants) {
  const found = mutant.run()
  if (found.violation === undefined) failed++
  console.log(found.violation === undefined ? `MISSED  mutant ${mutant.name}` : `caught  mutant ${mutant.name}: ${found.violation} (${found.name})`)
}
console.log(`${specs.length + mutants.length - failed} passed, ${failed} failed`)
process.exit(failed === 0 ? 0 : 1)
