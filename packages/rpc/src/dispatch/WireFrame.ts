/** An answer frame in the form of the protobuf codec: exactly one of the part fields is set. */
export interface WireFrame {
  readonly requestId: string;
  readonly attempt: number;
  readonly incarnation: number;
  /** Name of the part field that is set; added by the codec when it decodes. */
  readonly part?: string;
  readonly [part: string]: unknown;
}
