/**
 * Why a call to a peer gave no answer.
 *
 * - `unreachable`: nothing was sent.
 * - `lost`: it was sent, and the connection or the time ran out before an answer came.
 * - `rejected`: the peer answered with an error.
 */
export type PeerFault = 'unreachable' | 'lost' | 'rejected';
