import type { Server } from '@grpc/grpc-js';

/** A gRPC server that accepts calls. */
export interface RunningServer {
  readonly server: Server;
  /** `IP:PORT` on which it listens. */
  readonly address: string;
  /** Takes no new calls and resolves when those in progress have ended. */
  drain(): Promise<void>;
  /** Ends all calls at once. */
  close(): void;
}
