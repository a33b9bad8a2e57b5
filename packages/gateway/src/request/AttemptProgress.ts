/** How far the answer of an attempt got: nothing, its head only, or events or bytes of its body. */
export type AttemptProgress = 'none' | 'head' | 'body';
