import neostandard from 'neostandard'

/** Layers: common imports nothing outward; a target folder imports common and its own files. */
const outward = ['enginemodel', 'router', 'gateway', 'platform', 'ctl', 'load', 'standin', 'tools', 'experiment', 'bench', 'model', 'scenarios', 'soak']
const allowed = {
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
  bench: ['enginemodel', 'tools', 'load', 'router']
}

/** Rooms of the router that may not know certain others. */
const rooms = {
  telemetry: ['callers', 'engines', 'services', 'fleet', 'configuration'],
  fleet: ['callers', 'engines', 'services', 'configuration'],
  configuration: ['callers', 'engines', 'services']
}
/** Fleet's listener for peers serves the work of other rooms; it is wired by the composition root. */
const roomExceptions = ['src/router/fleet/PeerServer.ts', 'src/router/fleet/*.test.ts']

/** Patterns of what a folder may not import. */
function barredTo (folder) {
  const layers = outward.filter(o => o !== folder && !allowed[folder].includes(o)).map(o => ({ group: [`**/${o}/**`], message: `${folder} may not import ${o}` }))
  const modules = { group: ['node:http', 'node:net', 'node:dgram', 'node:fs', 'undici', 'hono'], message: 'common is platform-free' }
  return folder === 'common' ? [...layers, modules] : layers
}

const restrict = (files, ignores, patterns) => ({ files, ignores, rules: { 'no-restricted-imports': ['error', { patterns }] } })
const layers = Object.keys(allowed).map(folder => restrict([`src/${folder}/**/*.ts`], [], barredTo(folder)))
const roomLayers = Object.entries(rooms).map(([room, barred]) => {
  const others = barred.map(o => ({ group: [`**/${o}/**`], message: `${room} may not import ${o}` }))
  return restrict([`src/router/${room}/**/*.ts`], roomExceptions, [...barredTo('router'), ...others])
})

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'src/common/generated/**'] }),
  { files: ['scripts/**'], rules: { 'new-cap': 'off' } },
  { rules: { '@typescript-eslint/no-redeclare': 'off', 'no-redeclare': 'off', '@stylistic/max-len': ['error', { code: 160, ignoreStrings: true, ignoreTemplateLiterals: true }] } },
  ...layers,
  ...roomLayers,
  // the whole path is tested against the stand-ins
  { files: ['src/platform/*.test.ts'], rules: { 'no-restricted-imports': 'off' } }
]
