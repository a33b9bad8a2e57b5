interface ResponseHeader {
  /** Differs for a cluster that was restored from a backup. */
  readonly cluster_id: string;
  readonly revision: string;
}

interface KeyValue {
  readonly key: Buffer;
  readonly value: Buffer;
  readonly create_revision: string;
  readonly mod_revision: string;
  readonly version: string;
  readonly lease: string;
}

interface RequestOp {
  readonly request_range?: { readonly key: Buffer; readonly range_end?: Buffer };
  readonly request_put?: EtcdApi['PutRequest'];
  readonly request_delete_range?: { readonly key: Buffer; readonly range_end?: Buffer };
}

interface Compare {
  readonly result: 'EQUAL' | 'GREATER' | 'LESS' | 'NOT_EQUAL';
  readonly target: 'VERSION' | 'CREATE' | 'MOD' | 'VALUE' | 'LEASE';
  readonly key: Buffer;
  readonly version?: string;
  readonly create_revision?: string;
  readonly mod_revision?: string;
  readonly value?: Buffer;
  readonly lease?: string;
}

/** Messages of `etcd.proto` as proto-loader decodes them: 64-bit integers become strings. */
export interface EtcdApi {
  KeyValue: KeyValue;
  Event: { readonly type: 'PUT' | 'DELETE'; readonly kv: KeyValue };
  Compare: Compare;
  RequestOp: RequestOp;
  RangeRequest: { readonly key: Buffer; readonly range_end?: Buffer };
  RangeResponse: { readonly header: ResponseHeader; readonly kvs: readonly KeyValue[] };
  PutRequest: { readonly key: Buffer; readonly value: Buffer; readonly lease?: string };
  DeleteRangeRequest: { readonly key: Buffer; readonly range_end?: Buffer };
  DeleteRangeResponse: { readonly header: ResponseHeader; readonly deleted: string };
  TxnRequest: {
    readonly compare: readonly Compare[];
    readonly success: readonly RequestOp[];
    readonly failure: readonly RequestOp[];
  };
  TxnResponse: {
    readonly header: ResponseHeader;
    readonly succeeded: boolean;
    readonly responses: readonly { readonly response_range?: EtcdApi['RangeResponse'] }[];
  };
  WatchRequest: {
    readonly create_request?: {
      readonly key: Buffer;
      readonly range_end?: Buffer;
      readonly start_revision?: string;
      readonly progress_notify?: boolean;
    };
    readonly cancel_request?: { readonly watch_id: string };
    readonly progress_request?: object;
  };
  WatchResponse: {
    readonly header: ResponseHeader;
    readonly watch_id: string;
    readonly created: boolean;
    readonly canceled: boolean;
    readonly compact_revision: string;
    readonly cancel_reason: string;
    readonly events: readonly EtcdApi['Event'][];
  };
  LeaseGrantRequest: { readonly TTL: string; readonly ID: string };
  LeaseGrantResponse: {
    readonly header: ResponseHeader;
    readonly ID: string;
    readonly TTL: string;
  };
  LeaseRevokeRequest: { readonly ID: string };
  LeaseKeepAliveResponse: {
    readonly header: ResponseHeader;
    readonly ID: string;
    readonly TTL: string;
  };
}
