/** Receives the answer to a `DirectCall`. */
export interface DirectListener {
  /** @param headers by lower-case name; a repeated header has an array of values */
  acceptHead(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): void;
  acceptData(data: Buffer): void;
  /** Called when the answer is complete by its framing. */
  acceptEnd(): void;
  /** @param isUnsent whether no connection was established, so that the target received nothing */
  acceptFailure(message: string, isUnsent: boolean): void;
}
