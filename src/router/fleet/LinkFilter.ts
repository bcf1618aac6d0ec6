/** Blocks traffic to and from named peers, for failure tests. Everything passes unless the settings enable fault injection. */
export class LinkFilter {
  #blocked: ReadonlySet<string> = new Set()

  /** Replaces the set of blocked names: instance ids, endpoint ids, or `platform`. */
  block (names: readonly string[]): void {
    this.#blocked = new Set(names)
  }

  /** True when the link to the name is not blocked. */
  passes (name: string): boolean {
    return !this.#blocked.has(name)
  }
}
