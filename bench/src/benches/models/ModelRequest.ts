/** A chat request of the bench models. */
export interface ModelRequest {
  readonly id: number;
  readonly entry: number;
  /** Name of the shared prefix that begins the prompt. */
  readonly prefix: string;
  readonly prefixTokens: number;
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly maxTokens: number;
}
