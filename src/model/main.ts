/** `npm run model`: explores the specifications exhaustively and checks that a violation is found for every mutant. */
import { CONFIG_MUTANTS, configSpec } from './ConfigSpec.js'
import { explore, type Exploration } from './Explore.js'
import { KEY_SCENARIOS, KEY_MUTANTS, keySpec } from './KeySpec.js'
import { TICKET_MUTANTS, ticketSpec } from './TicketSpec.js'

interface Mutant {
  readonly name: string
  readonly run: () => Exploration
}

const specs: ReadonlyArray<() => Exploration> = [
  ...KEY_SCENARIOS.map(scenario => () => explore(keySpec(scenario))),
  () => explore(ticketSpec()),
  () => explore(configSpec())
]

const mutants: readonly Mutant[] = [
  ...KEY_MUTANTS.map(m => ({ name: `key: ${m.name}`, run: () => explore(keySpec(KEY_SCENARIOS.find(c => c.name === m.scenario)!, m.rules)) })),
  ...TICKET_MUTANTS.map(m => ({ name: `ticket: ${m.name}`, run: () => explore(ticketSpec(m.rules)) })),
  ...CONFIG_MUTANTS.map(m => ({ name: `configuration: ${m.name}`, run: () => explore(configSpec(m.rules)) }))
]

let failed = 0
for (const run of specs) {
  const exploration = run()
  if (exploration.violation !== undefined) failed++
  console.log(`${exploration.violation === undefined ? 'holds ' : 'BROKEN'}  ${exploration.states} states  ${exploration.name}${exploration.violation === undefined ? '' : `: ${exploration.violation}`}`)
}
for (const mutant of mutants) {
  const exploration = mutant.run()
  if (exploration.violation === undefined) failed++
  console.log(exploration.violation === undefined ? `MISSED  mutant ${mutant.name}` : `caught  mutant ${mutant.name}: ${exploration.violation} (${exploration.name})`)
}
console.log(`${specs.length + mutants.length - failed} passed, ${failed} failed`)
process.exit(failed === 0 ? 0 : 1)
