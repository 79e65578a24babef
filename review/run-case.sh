#!/bin/sh
# run-case.sh FOLDER PROGRAM [ARGUMENT...] runs the stand-in of a case. It writes FOLDER/record.txt and exits with
# the stand-in's code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
folder=$(cd "$1" && pwd) || exit 2
program=$here/bin/$2
shift 2
root=$(cd "$here/.." && pwd) || exit 2
if [ ! -x "$program" ] || [ ! -x "$root/bin/barleydrum" ]; then
	echo "run the build of deploy/balancer.toml and review/build.sh first" >&2
	exit 2
fi
dir=$(mktemp -d) || exit 2
"$program" -root "$root" -dir "$dir" -record "$folder/record.txt" "$@" &
pid=$!
# The sidecars end with the stand-in: the kernel kills them, see kit.StartSidecar.
trap 'kill "$pid" 2>/dev/null; wait "$pid" 2>/dev/null; rm -rf "$dir"; exit 2' INT TERM HUP
wait "$pid"
code=$?
rm -rf "$dir"
case $code in
0 | 1) exit "$code" ;;
esac
exit 2
