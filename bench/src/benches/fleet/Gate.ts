import type { TargetAdmission } from '@limpetbay/core';

/** The part of `TargetAdmission` that a baseline has to offer too. */
export type Gate = Pick<TargetAdmission, 'submit' | 'finish' | 'tick' | 'getLoad'>;
