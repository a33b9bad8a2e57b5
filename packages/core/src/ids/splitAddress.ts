interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Splits an `IP:PORT` address. */
export function splitAddress(address: string): HostAndPort {
  const [host = '', port = '0'] = address.split(':');
  return { host, port: Number(port) };
}
