package org.sageladder.core.permit;

/**
 * The right to run one request at most once, minted by the only incarnation that may execute it.
 *
 * <p>Example: {@code new Permit("tallinn-a-1", 7, 4211, 1764702000000L, "kannelkoda", "donations",
 * "", "10.1.0.18:8080")}.
 *
 * @param issuer entry VM that minted the permit; only it may execute the permit
 * @param incarnation incarnation of the issuer; a later incarnation has no state of the permit
 * @param sequence position in the order in which the incarnation minted its permits, from 1
 * @param expiryMillis wall-clock time of the issuer after which the permit is never executed
 * @param binding the only use that the permit is valid for, such as the digest of an idempotency
 *     key; empty if unbound
 * @param issuerAddress address at which the issuer accepts requests, as HOST:PORT; empty if not
 *     included
 */
public record Permit(
    String issuer,
    long incarnation,
    long sequence,
    long expiryMillis,
    String customer,
    String service,
    String binding,
    String issuerAddress) {

  /** Returns the same permit with the address at which its issuer accepts requests. */
  public Permit withIssuerAddress(String issuerAddress) {
    return new Permit(
        issuer, incarnation, sequence, expiryMillis, customer, service, binding, issuerAddress);
  }
}
