/** How far a request and its answer came. */
export type RequestProgress =
  | 'head incomplete'
  | 'body incomplete'
  | 'waits for an answer'
  | 'answer begun'
  | 'answer not sent completely'
  | 'answered';
