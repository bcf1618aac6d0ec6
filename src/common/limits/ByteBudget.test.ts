import { describe, expect, it } from 'vitest'
import { ByteBudget } from './ByteBudget.js'

describe('ByteBudget', () => {
  it('reserves no more than there is, and takes back once what a request reserved', () => {
    const budget = new ByteBudget(100)
    const [first, second] = [budget.begin(), budget.begin()]
    expect([first.grow(60), second.grow(50), second.grow(40), first.grow(1), budget.reserved]).toEqual([true, false, true, false, 100])
    first.release()
    first.release()
    expect([budget.reserved, second.grow(60)]).toEqual([40, true])
  })
})
