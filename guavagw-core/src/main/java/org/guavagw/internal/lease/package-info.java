/** Leases on names, each held by at most one process, coordinated through the table service. */
package org.guavagw.internal.lease;
