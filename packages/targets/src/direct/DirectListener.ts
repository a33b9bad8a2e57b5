/** Receives the answer to a `DirectCall`. */
export interface DirectListener {
  /** @param headers lower-case names; a repeated header has an array */
  acceptHead(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): void;
  acceptData(data: Buffer): void;
  /** The answer is whole by its framing. */
  acceptEnd(): void;
  /** @param neverSent whether no connection existed, so that the target got nothing */
  acceptFailure(message: string, neverSent: boolean): void;
}
