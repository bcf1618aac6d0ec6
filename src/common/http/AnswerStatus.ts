/** Classes of an HTTP answer's status. */

const MIN_INTERIM_STATUS = 100
const MIN_SUCCESS_STATUS = 200
const MIN_REDIRECT_STATUS = 300
const MAX_STATUS = 599

/** True for a status that says that the request succeeded. */
export function isSuccess (status: number): boolean {
  return status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS
}

/** True for the status of an interim answer, which another one follows. */
export function isInterimStatus (status: number): boolean {
  return status >= MIN_INTERIM_STATUS && status < MIN_SUCCESS_STATUS
}

/** True for a status that a final answer can have. An answer with another one says nothing of its request, which may have run. */
export function isFinalStatus (status: number): boolean {
  return status >= MIN_SUCCESS_STATUS && status <= MAX_STATUS
}
