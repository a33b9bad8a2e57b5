import type { Server } from '@grpc/grpc-js';

/** A gRPC server that is listening for calls. */
export interface RunningServer {
  readonly server: Server;
  /** `IP:PORT` that the server listens on. */
  readonly address: string;
  /** Stops accepting calls and resolves when the calls in progress have ended. */
  drain(): Promise<void>;
  /** Terminates all calls immediately. */
  close(): void;
}
