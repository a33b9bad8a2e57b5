/** A socket of this process that is bound to an address. */
export interface Listener {
  /** What it serves, a label of the metrics. */
  readonly name: string;
  /** `IP:PORT` */
  readonly address: string;
  /**
   * Tries once to bind the address. A rejected call may be repeated.
   *
   * @param onError called for errors of the socket after it is bound
   * @throws the error of the operating system, such as an address in use
   */
  bind(onError: (error: Error) => void): Promise<void>;
  /** Called once, when the address is bound. */
  onBound?(): void;
}
