/** Assembles a chat-completions answer from its streamed chunks, for callers that did not request a stream. */

interface ToolDelta {
  readonly index: number
  readonly id?: string
  readonly function?: { readonly name?: string, readonly arguments?: string }
}

interface Delta {
  readonly role?: string
  readonly content?: string | null
  readonly tool_calls?: readonly ToolDelta[]
}

interface Chunk {
  readonly id?: string
  readonly created?: number
  readonly model?: string
  readonly usage?: unknown
  readonly choices?: ReadonlyArray<{ readonly index: number, readonly delta?: Delta, readonly finish_reason?: string | null }>
}

interface ToolCall { id?: string, type: string, function: { name: string, arguments: string } }

interface Choice { role: string, content: string, finishReason: string | null, readonly tools: ToolCall[] }

/** Accumulates chunks; `toCompletion()` returns undefined until every choice has ended. */
export class ChatAssembler {
  readonly #choices = new Map<number, Choice>()
  readonly #decoder = new TextDecoder()
  #head: Chunk | undefined
  #usage: unknown

  /** Adds the bytes of complete events; returns false when an event violates the protocol. */
  push (bytes: Uint8Array): boolean {
    for (const event of this.#decoder.decode(bytes).split('\n\n')) {
      if (event !== '' && !this.#pushEvent(event)) return false
    }
    return true
  }

  /** Text of the first choice so far. */
  get text (): string {
    return this.#choices.get(0)?.content ?? ''
  }

  /** The answer in the non-streaming format. */
  toCompletion (requestId: string): object | undefined {
    const choices = [...this.#choices.entries()].sort((a, b) => a[0] - b[0])
    if (choices.length === 0 || choices.some(([, c]) => c.finishReason === null)) return undefined
    return {
      id: this.#head?.id ?? requestId,
      object: 'chat.completion',
      created: this.#head?.created ?? 0,
      model: this.#head?.model ?? '',
      choices: choices.map(([index, c]) => ({
        index,
        message: { role: c.role, content: c.content, ...(c.tools.length > 0 ? { tool_calls: c.tools } : {}) },
        finish_reason: c.finishReason
      })),
      ...(this.#usage === undefined ? {} : { usage: this.#usage })
    }
  }

  #pushEvent (event: string): boolean {
    const data = event.split('\n').filter(l => l.startsWith('data:')).map(l => l.slice(5).trimStart()).join('\n')
    if (data === '' || data === '[DONE]') return true
    let chunk: Chunk
    try {
      chunk = JSON.parse(data) as Chunk
    } catch {
      return false
    }
    this.#head ??= chunk
    if (chunk.usage !== undefined && chunk.usage !== null) this.#usage = chunk.usage
    for (const part of chunk.choices ?? []) this.#pushChoice(part.index, part.delta ?? {}, part.finish_reason ?? null)
    return true
  }

  #pushChoice (index: number, delta: Delta, finish: string | null): void {
    let choice = this.#choices.get(index)
    if (choice === undefined) {
      choice = { role: 'assistant', content: '', finishReason: null, tools: [] }
      this.#choices.set(index, choice)
    }
    choice.role = delta.role ?? choice.role
    choice.content += delta.content ?? ''
    choice.finishReason = finish ?? choice.finishReason
    for (const call of delta.tool_calls ?? []) {
      const tool = choice.tools[call.index] ??= { type: 'function', function: { name: '', arguments: '' } }
      if (call.id !== undefined) tool.id = call.id
      tool.function.name += call.function?.name ?? ''
      tool.function.arguments += call.function?.arguments ?? ''
    }
  }
}
