// Runs the scenarios; `npm run scenario -- --list` lists them with the row of the requirements that they check.
import { spawnSync } from 'node:child_process'
import { readFileSync, readdirSync } from 'node:fs'

if (process.argv.includes('--list')) {
  for (const file of readdirSync('features').sort()) {
    for (const line of readFileSync(`features/${file}`, 'utf8').split('\n')) {
      const name = /^\s*Scenario(?: Outline)?: (.*)$/.exec(line)
      if (name !== null) console.log(`row ${file[0]}  ${name[1]}`)
    }
  }
} else {
  const run = spawnSync('npx', ['cucumber-js', ...process.argv.slice(2)], { stdio: 'inherit' })
  process.exit(run.status ?? 1)
}
