/** Benches, and the policy bench that runs scenarios in virtual time. */
package org.guavagw.cli.bench;
