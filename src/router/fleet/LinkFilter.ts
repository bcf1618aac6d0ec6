/** Drops traffic to and from chosen instances, for failure tests; passes all unless the settings allow faults. */
export class LinkFilter {
  #blocked: ReadonlySet<string> = new Set()

  /** Sets the names that can't be reached: instance ids, endpoint ids, or `platform`. */
  block (names: readonly string[]): void {
    this.#blocked = new Set(names)
  }

  passes (name: string): boolean {
    return !this.#blocked.has(name)
  }
}
