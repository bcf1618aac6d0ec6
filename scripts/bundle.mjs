// Bundles the compiled gateway into one file, which starts in about half of the time: most of a start is loading modules.
// Usage: node scripts/bundle.mjs DIR   reads DIR/platform/main.js, writes DIR/gateway.js
import { build } from 'esbuild'

const dir = process.argv[2] ?? 'dist'

await build({
  entryPoints: [`${dir}/platform/main.js`],
  outfile: `${dir}/gateway.js`,
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  logLevel: 'warning',
  // libraries in the older module format call require
  banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" }
})
