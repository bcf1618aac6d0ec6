// Generates types and validators from schemas/; `--check` fails when the committed code is out of date.
import { readFileSync, readdirSync, writeFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Ajv } from 'ajv'
import standaloneCode from 'ajv/dist/standalone/index.js'
import { compile } from 'json-schema-to-typescript'

const root = join(dirname(fileURLToPath(import.meta.url)), '..')
const outDir = join(root, 'src', 'common', 'generated')
const check = process.argv.includes('--check')
const names = readdirSync(join(root, 'schemas')).map(f => f.replace('.schema.json', '')).sort()

async function typesOf (schema) {
  const code = await compile(structuredClone(schema), schema.title, {
    bannerComment: '// Generated from schemas/ by scripts/generate.mjs; do not edit.',
    additionalProperties: schema.additionalProperties !== false,
    ignoreMinAndMaxItems: true,
    style: { semi: false, singleQuote: true }
  })
  return code.replace(/^( +)(?!\*|\/)(\[?"?[\w$]+"?\??:)/gm, '$1readonly $2').replace(/: (\w+)\[\]/g, ': readonly $1[]')
}

function validatorsOf (schemas) {
  const ajv = new Ajv({ allErrors: true, strict: false, useDefaults: true, verbose: false, code: { source: true, esm: true } })
  for (const s of schemas) ajv.addSchema(s, s.title)
  const map = Object.fromEntries(schemas.map(s => [`validate${s.title}`, s.title]))
  let code = standaloneCode.default(ajv, map)
  // inlined, so that the package does not need ajv at run time
  code = code.replace(/const (\w+) = require\("ajv\/dist\/runtime\/ucs2length"\)\.default;?/g, 'const $1 = text => [...text].length;')
  code = code.replace(/schemaPath:"[^"]*",/g, '') // unused: errors contain the pointer into the document
  if (code.includes('require(')) throw new Error('the generated validators require a module that is not inlined')
  const head = '// @ts-nocheck\n// Generated from schemas/ by scripts/generate.mjs; do not edit.\n'
  return head + code.replace('"use strict";', '').replaceAll(';export', ';\nexport') + '\n'
}

const schemas = names.map(n => JSON.parse(readFileSync(join(root, 'schemas', `${n}.schema.json`), 'utf8')))
const files = new Map()
for (const s of schemas) files.set(`${s.title}.ts`, await typesOf(s))
files.set('Validators.ts', validatorsOf(schemas))

let stale = 0
for (const [name, code] of files) {
  const path = join(outDir, name)
  let old = ''
  try { old = readFileSync(path, 'utf8') } catch {}
  if (old === code) continue
  stale++
  if (check) console.error(`out of date: src/common/generated/${name}`)
  else writeFileSync(path, code)
}
if (check && stale > 0) process.exit(1)
console.log(check ? 'generated code is current' : `${stale} generated file(s) written`)
