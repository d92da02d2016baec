/** Leases: exclusive holds on names, agreed on through the table service. */
package org.guavagw.internal.lease;
