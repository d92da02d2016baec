/** Runs tasks again and again. */
package org.guavagw.gateway.internal.scheduling;
