/** A frame as the protobuf codec takes and gives it: one of the part fields is set. */
export interface WireFrame {
  readonly requestId: string;
  readonly attempt: number;
  readonly incarnation: number;
  /** Name of the part field that is set; given by the codec. */
  readonly part?: string;
  readonly [part: string]: unknown;
}
