import neostandard from 'neostandard'

/** Layers: common imports nothing outward; a target folder imports common and its own files. */
const outward = ['enginemodel', 'router', 'ctl', 'load', 'standin', 'tools', 'experiment', 'bench', 'model', 'scenarios']
const allowed = {
  common: [],
  enginemodel: [],
  router: [],
  standin: ['enginemodel'],
  load: ['enginemodel'],
  ctl: ['router'],
  model: [],
  scenarios: ['enginemodel', 'load', 'tools', 'standin', 'router'],
  tools: ['enginemodel', 'load', 'standin', 'router'],
  experiment: ['enginemodel', 'tools', 'load', 'router'],
  bench: ['enginemodel', 'tools', 'load', 'router']
}

const layers = Object.entries(allowed).map(([folder, more]) => ({
  files: [`src/${folder}/**/*.ts`],
  rules: {
    'no-restricted-imports': ['error', {
      patterns: [
        ...outward.filter(o => o !== folder && !more.includes(o)).map(o => ({ group: [`**/${o}/*`], message: `${folder} may not import ${o}` })),
        ...(folder === 'common' ? [{ group: ['node:http', 'node:net', 'node:dgram', 'node:fs', 'undici', 'hono'], message: 'common is platform-free' }] : [])
      ]
    }]
  }
}))

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'src/common/generated/**'] }),
  { files: ['scripts/**'], rules: { 'new-cap': 'off' } },
  { rules: { '@typescript-eslint/no-redeclare': 'off', 'no-redeclare': 'off', '@stylistic/max-len': ['error', { code: 160, ignoreStrings: true, ignoreTemplateLiterals: true }] } },
  ...layers
]
