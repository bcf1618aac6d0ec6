import neostandard from 'neostandard'

/**
 * Folders of src that may be imported only where `allowedImports` lists them.
 * Every folder may import common and its own files; common may import none of these folders.
 */
const restrictedFolders = ['enginemodel', 'router', 'gateway', 'platform', 'ctl', 'load', 'standin', 'tools', 'experiment', 'bench', 'model', 'scenarios', 'soak']
const allowedImports = {
  common: [],
  enginemodel: [],
  router: [],
  gateway: ['router'],
  platform: ['gateway', 'router'],
  standin: ['enginemodel'],
  load: ['enginemodel'],
  ctl: ['router'],
  model: [],
  scenarios: ['enginemodel', 'load', 'tools', 'standin', 'router'],
  tools: ['enginemodel', 'load', 'standin', 'router'],
  experiment: ['enginemodel', 'tools', 'load', 'router'],
  soak: ['standin', 'tools'],
  bench: ['enginemodel', 'tools', 'load', 'router', 'gateway']
}

/** For each listed folder of src/router, the sibling folders that it may not import. */
const forbiddenRouterImports = {
  telemetry: ['callers', 'engines', 'services', 'fleet', 'configuration'],
  fleet: ['callers', 'engines', 'services', 'configuration'],
  configuration: ['callers', 'engines', 'services']
}
/** Files exempt from `forbiddenRouterImports`. PeerServer dispatches peer requests to code in other router folders and is created by the composition root. */
const routerImportExemptions = ['src/router/fleet/PeerServer.ts', 'src/router/fleet/*.test.ts']

const forbidFolder = (folder, target) => ({ group: [`**/${target}/**`], message: `${folder} must not import from ${target}` })

/** Returns the no-restricted-imports patterns for a folder of src. */
function forbiddenPatterns (folder) {
  const forbiddenFolders = restrictedFolders.filter(target => target !== folder && !allowedImports[folder].includes(target))
  const folderPatterns = forbiddenFolders.map(target => forbidFolder(folder, target))
  const platformModules = {
    group: ['node:http', 'node:net', 'node:dgram', 'node:fs', 'undici', 'hono'],
    message: 'common must not depend on network or file system modules'
  }
  return folder === 'common' ? [...folderPatterns, platformModules] : folderPatterns
}

const restrictImports = (files, ignores, patterns) => ({ files, ignores, rules: { 'no-restricted-imports': ['error', { patterns }] } })
const folderConfigs = Object.keys(allowedImports).map(folder => restrictImports([`src/${folder}/**/*.ts`], [], forbiddenPatterns(folder)))
// A later config replaces the options of an earlier one, so the patterns of src/router are repeated here.
const routerFolderConfigs = Object.entries(forbiddenRouterImports).map(([folder, targets]) => {
  const siblingPatterns = targets.map(target => forbidFolder(folder, target))
  return restrictImports([`src/router/${folder}/**/*.ts`], routerImportExemptions, [...forbiddenPatterns('router'), ...siblingPatterns])
})

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'src/common/generated/**'] }),
  { files: ['scripts/**'], rules: { 'new-cap': 'off' } },
  { rules: { '@typescript-eslint/no-redeclare': 'off', 'no-redeclare': 'off', '@stylistic/max-len': ['error', { code: 160, ignoreStrings: true, ignoreTemplateLiterals: true }] } },
  ...folderConfigs,
  ...routerFolderConfigs,
  // These tests run the whole request path against the simulated store and workers in src/standin.
  { files: ['src/platform/*.test.ts'], rules: { 'no-restricted-imports': 'off' } }
]
