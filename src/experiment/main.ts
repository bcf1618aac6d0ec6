/** `npm run experiment -- NAME [--seed N] [--json]`: runs one experiment. */
import { Argument, Command } from 'commander'
import { POLICY_EXPERIMENTS, runPolicyExperiment } from './PolicyExperiments.js'
import { runConfig, runControl } from './ProcessExperiments.js'

const PROCESS_EXPERIMENTS: Readonly<Record<string, { readonly description: string, run (jsonOnly: boolean): Promise<void> }>> = {
  control: { description: 'control traffic, processor time and memory of real routers at 4 to 40 nodes', run: runControl },
  config: { description: 'time until a file is in force everywhere while 5% of the nodes restart', run: runConfig }
}

const names = [...Object.keys(POLICY_EXPERIMENTS), ...Object.keys(PROCESS_EXPERIMENTS)]

const program = new Command('experiment')
  .addArgument(new Argument('[name]', 'experiment').choices(names))
  .option('--seed <n>', 'seed of the trace', Number, 1)
  .option('--json', 'print only the JSON line')
  .option('--list', 'list the experiments')
  .action(async (name: string | undefined, opts: { readonly seed: number, readonly json?: boolean, readonly list?: boolean }) => {
    if (name === undefined || opts.list === true) {
      for (const [n, e] of Object.entries({ ...POLICY_EXPERIMENTS, ...PROCESS_EXPERIMENTS })) console.log(`${n.padEnd(8)} ${e.description}`)
    } else if (name in POLICY_EXPERIMENTS) {
      runPolicyExperiment(name, opts.seed, opts.json ?? false)
    } else {
      await PROCESS_EXPERIMENTS[name]!.run(opts.json ?? false)
    }
  })

await program.parseAsync()
