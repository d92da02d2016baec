/** Rate limits of one entry, set so that all entries together stay within the global limits. */
package org.guavagw.gateway.internal.limits;
