/** Splits a limit of whole units among instances that don't ask each other, so that the parts add up to no more than the limit. */

/**
 * This instance's part: a share rounded down, and one of the units that are left over for the first instances.
 * @param isAmongFirst true when this instance is among the first `count`, in an order that all instances agree on.
 */
export function wholePart (limit: number, instances: number, isAmongFirst: (count: number) => boolean): number {
  const units = Math.floor(limit)
  const each = Math.floor(units / Math.max(1, instances))
  const left = units - each * Math.max(1, instances)
  return each + (left > 0 && isAmongFirst(left) ? 1 : 0)
}
