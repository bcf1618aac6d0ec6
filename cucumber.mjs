export default {
  paths: process.argv.some(a => a.endsWith('.feature')) ? [] : ['features/**/*.feature'],
  import: ['dist/scenarios/**/*.js'],
  format: ['progress', 'summary'],
  parallel: 2,
  forceExit: true
}
